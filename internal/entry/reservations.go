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
func (w *pendingReservations) add(s slot, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := s.target.BackendServer
	if w.byServer[server] == nil {
		w.byServer[server] = map[string]context.CancelFunc{}
	}
	w.byServer[server][s.dispatchID] = cancel
}

// remove unregisters a reservation.
func (w *pendingReservations) remove(s slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := s.target.BackendServer
	delete(w.byServer[server], s.dispatchID)
	if len(w.byServer[server]) == 0 {
		delete(w.byServer, server)
	}
}

// cancelUnusable cancels the reservations at backend servers that are no longer usable.
func (w *pendingReservations) cancelUnusable(usable func(backendServer string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for server, waiting := range w.byServer {
		if usable(server) {
			continue
		}
		for _, cancel := range waiting {
			cancel()
		}
	}
}
