package entry

import (
	"context"
	"sync"
)

// pendingReservations tracks the requests that wait for a slot, by backend server, so that they
// can be cancelled when the backend server becomes unusable.
type pendingReservations struct {
	mu       sync.Mutex
	byServer map[string]map[string]context.CancelFunc
}

func newPendingReservations() *pendingReservations {
	return &pendingReservations{byServer: map[string]map[string]context.CancelFunc{}}
}

// add registers the cancel function of a waiting reservation.
func (p *pendingReservations) add(s slot, cancel context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := s.target.BackendServer
	if p.byServer[server] == nil {
		p.byServer[server] = map[string]context.CancelFunc{}
	}
	p.byServer[server][s.dispatchID] = cancel
}

// remove unregisters a reservation.
func (p *pendingReservations) remove(s slot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	server := s.target.BackendServer
	delete(p.byServer[server], s.dispatchID)
	if len(p.byServer[server]) == 0 {
		delete(p.byServer, server)
	}
}

// cancelUnusable cancels the reservations at backend servers that are no longer usable.
func (p *pendingReservations) cancelUnusable(usable func(backendServer string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, waiting := range p.byServer {
		if usable(server) {
			continue
		}
		for _, cancel := range waiting {
			cancel()
		}
	}
}
