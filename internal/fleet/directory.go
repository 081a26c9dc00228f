package fleet

import (
	"sync"
	"time"
)

const (
	// RegistrationGrace is how long after a store outage the registration of a live backend
	// server may be missing. It follows from the registration intervals of the platform.
	RegistrationGrace = 2 * time.Second
	// expiryWindow is how long after the end of an outage removals still count as made during
	// the outage, because they are read with a delay.
	expiryWindow = 200 * time.Millisecond
	// massExpiryFraction is the fraction of a service's servers whose removal in one batch is
	// treated as expired registrations instead of servers that left.
	massExpiryFraction = 0.5
)

// Directory holds the registered backend servers. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	servers map[string]Server
	// keptUntil holds how long servers with a missing registration are kept.
	keptUntil map[string]time.Time
	// lastFailure is when the store last failed to answer, recoveredAt when it answered again.
	lastFailure time.Time
	recoveredAt time.Time
	storeDown   bool
	loaded      bool
	// evacuated holds the data centres whose servers get no requests, and until when that holds without a request
	// of the operator: forever if zero.
	evacuated map[string]time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]Server{}, keptUntil: map[string]time.Time{}, evacuated: map[string]time.Time{}}
}

// Put adds or updates the registration of a server. A later incarnation replaces an earlier one
// at the same address.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, other := range d.servers {
		if id == s.ID || other.Address != s.Address {
			continue
		}
		if other.StartedAt.After(s.StartedAt) {
			// A later incarnation already uses the address.
			return
		}
		if s.StartedAt.After(other.StartedAt) {
			delete(d.servers, id)
			delete(d.keptUntil, id)
		}
	}
	d.servers[s.ID] = s
	delete(d.keptUntil, s.ID)
}

// Remove removes the registrations of servers. Servers whose registrations vanished during an
// outage of the store are kept until RegistrationGrace after its end, because the registrations
// may only have expired. The last failure is taken as the end of the outage: this process may
// detect the recovery later, and until then a server that left cannot be distinguished from one
// whose registration expired.
func (d *Directory) Remove(ids []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeExpired(now)
	var keepUntil time.Time
	switch {
	case d.storeDown || now.Sub(d.recoveredAt) < expiryWindow:
		keepUntil = d.lastFailure.Add(RegistrationGrace)
	case d.isMassExpiry(ids):
		keepUntil = now.Add(RegistrationGrace)
	}
	for _, id := range ids {
		if _, known := d.servers[id]; !known {
			continue
		}
		if keepUntil.IsZero() {
			delete(d.servers, id)
			continue
		}
		d.keptUntil[id] = keepUntil
	}
}

// removeExpired removes the servers that were not registered again in time.
func (d *Directory) removeExpired(now time.Time) {
	for id, until := range d.keptUntil {
		if now.After(until) {
			delete(d.servers, id)
			delete(d.keptUntil, id)
		}
	}
}

func (d *Directory) isMassExpiry(ids []string) bool {
	total, vanished := map[string]int{}, map[string]int{}
	for _, s := range d.servers {
		total[s.Service]++
	}
	for _, id := range ids {
		if s, known := d.servers[id]; known && s.State == StateReady {
			vanished[s.Service]++
		}
	}
	for service, n := range vanished {
		if n > 1 && float64(n) > massExpiryFraction*float64(total[service]) {
			return true
		}
	}
	return false
}

// MarkStoreDown records that the store has not answered.
func (d *Directory) MarkStoreDown(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown, d.lastFailure = true, now
}

// MarkStoreUp records that the store has answered a read of the whole list or of the changes
// since the last read.
func (d *Directory) MarkStoreUp(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDown {
		d.recoveredAt = now
	}
	d.storeDown, d.loaded = false, true
	d.removeExpired(now)
}

// MarkRewound records that the store came back from an older copy: registrations that it lacks may only be lost.
func (d *Directory) MarkRewound(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastFailure, d.recoveredAt = now, now
}

// Loaded reports whether the list was read at least once.
func (d *Directory) Loaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loaded
}

// Usable reports whether an incarnation is registered and accepts new requests.
func (d *Directory) Usable(id string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.servers[id]
	return ok && d.acceptsRequests(s, now)
}

// acceptsRequests reports whether a server accepts new requests: it is registered, and its data centre is not evacuated.
func (d *Directory) acceptsRequests(s Server, now time.Time) bool {
	return d.isRegistered(s, now) && !d.isEvacuated(s.DataCentre, now)
}

// isRegistered reports whether a server is not draining, and its registration is present or has not been missing for
// too long.
func (d *Directory) isRegistered(s Server, now time.Time) bool {
	until, missing := d.keptUntil[s.ID]
	return s.State == StateReady && (!missing || now.Before(until))
}

func (d *Directory) isEvacuated(dataCentre string, now time.Time) bool {
	until, evacuated := d.evacuated[dataCentre]
	return evacuated && (until.IsZero() || now.Before(until))
}

// SetEvacuated starts or ends the evacuation of a data centre, whose servers get no requests meanwhile.
func (d *Directory) SetEvacuated(dataCentre string, evacuated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if evacuated {
		d.evacuated[dataCentre] = time.Time{}
		return
	}
	delete(d.evacuated, dataCentre)
}

// SetEvacuations replaces all evacuations, but for those that HoldEvacuations holds.
func (d *Directory) SetEvacuations(dataCentres []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for dataCentre, until := range d.evacuated {
		if until.IsZero() || !now.Before(until) {
			delete(d.evacuated, dataCentre)
		}
	}
	for _, dataCentre := range dataCentres {
		d.evacuated[dataCentre] = time.Time{}
	}
}

// evacuationHold is how long an evacuation stays in force after the store has lost its request: the operator writes
// it again in that time.
const evacuationHold = 10 * time.Second

// HoldEvacuations keeps the evacuations in force for a while, although the store may not list them.
func (d *Directory) HoldEvacuations(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for dataCentre := range d.evacuated {
		d.evacuated[dataCentre] = now.Add(evacuationHold)
	}
}

// Server returns the registration of an incarnation, and whether there is one.
func (d *Directory) Server(id string) (Server, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.servers[id]
	return s, ok
}

// Ready returns the servers of a service that accept new requests.
func (d *Directory) Ready(service string, now time.Time) []Server {
	return d.filter(service, now, d.acceptsRequests)
}

// Registered returns the servers of a service that are registered and don't drain, also those of evacuated data centres.
func (d *Directory) Registered(service string, now time.Time) []Server {
	return d.filter(service, now, d.isRegistered)
}

// filter returns the servers of a service that match, which is called with d.mu held.
func (d *Directory) filter(service string, now time.Time, match func(Server, time.Time) bool) []Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []Server
	for _, s := range d.servers {
		if s.Service == service && match(s, now) {
			list = append(list, s)
		}
	}
	return list
}

// IDs returns the IDs of all registered servers.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	ids := make([]string, 0, len(d.servers))
	for id := range d.servers {
		ids = append(ids, id)
	}
	return ids
}
