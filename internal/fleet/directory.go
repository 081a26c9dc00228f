package fleet

import (
	"sync"
	"time"
)

const (
	// RegistrationGrace is how long after a store outage the entry of a live
	// backend server may be missing (registration times of the platform).
	RegistrationGrace = 2 * time.Second
	// expiryWindow is how long after the end of an outage the removals that are read
	// count as made during it.
	expiryWindow = 200 * time.Millisecond
	// massExpiryFraction is the part of a service's servers that, vanishing within one
	// batch, means that registrations lapsed rather than that servers left.
	massExpiryFraction = 0.5
)

// Directory holds the registered backend servers. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	servers map[string]Server
	// keptUntil holds until when a server is kept whose entry has vanished.
	keptUntil map[string]time.Time
	// lastFailure is when the store last failed to answer, recovered when it answered again.
	lastFailure time.Time
	recoveredAt time.Time
	storeDown   bool
	loaded      bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]Server{}, keptUntil: map[string]time.Time{}}
}

// Put registers a server or changes its entry. One that started later at the same
// address has taken its place.
func (d *Directory) Put(s Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, other := range d.servers {
		if id == s.ID || other.Address != s.Address {
			continue
		}
		if other.Born.After(s.Born) {
			// The address belongs to a later start already.
			return
		}
		if s.Born.After(other.Born) {
			delete(d.servers, id)
			delete(d.keptUntil, id)
		}
	}
	d.servers[s.ID] = s
	delete(d.keptUntil, s.ID)
}

// Remove takes the entries of servers out. Those that vanished during an outage of the
// store are kept until RegistrationGrace after its end, as their registrations may
// only have lapsed. The end is taken to be the last failure: this process may hear of it
// later, and until then a server that left doesn't differ from one whose entry lapsed.
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

// removeExpired drops the servers whose entries have not come back in time.
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

// StoreLost says that the store has not answered.
func (d *Directory) StoreLost(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown, d.lastFailure = true, now
}

// StoreAnswered says that the store has answered a read of the whole list or of
// what changed since the last one.
func (d *Directory) StoreAnswered(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDown {
		d.recoveredAt = now
	}
	d.storeDown, d.loaded = false, true
	d.removeExpired(now)
}

// Loaded reports whether the list was read at least once.
func (d *Directory) Loaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.loaded
}

// Usable reports whether an incarnation is registered and takes new requests.
func (d *Directory) Usable(id string, now time.Time) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	s, ok := d.servers[id]
	return ok && d.acceptsRequests(s, now)
}

// acceptsRequests reports whether a server takes new requests: it isn't draining, and its entry
// isn't missing for too long.
func (d *Directory) acceptsRequests(s Server, now time.Time) bool {
	until, missing := d.keptUntil[s.ID]
	return s.State == StateReady && (!missing || now.Before(until))
}

// Ready returns the servers of a service that take new requests.
func (d *Directory) Ready(service string, now time.Time) []Server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var list []Server
	for _, s := range d.servers {
		if s.Service == service && d.acceptsRequests(s, now) {
			list = append(list, s)
		}
	}
	return list
}

// IDs returns the ids of all registered servers.
func (d *Directory) IDs() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	ids := make([]string, 0, len(d.servers))
	for id := range d.servers {
		ids = append(ids, id)
	}
	return ids
}
