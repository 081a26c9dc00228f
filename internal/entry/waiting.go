package entry

import (
	"context"
	"sync"
)

// pendingReservations holds the requests that wait for a slot, by backend server, so that
// they can leave one that is shutting down.
type pendingReservations struct {
	mu       sync.Mutex
	byServer map[string]map[string]context.CancelFunc
}

func newPendingReservations() *pendingReservations {
	return &pendingReservations{byServer: map[string]map[string]context.CancelFunc{}}
}

func (w *pendingReservations) add(s slot, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := s.target.BackendServer
	if w.byServer[server] == nil {
		w.byServer[server] = map[string]context.CancelFunc{}
	}
	w.byServer[server][s.dispatchID] = cancel
}

func (w *pendingReservations) remove(s slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	server := s.target.BackendServer
	delete(w.byServer[server], s.dispatchID)
	if len(w.byServer[server]) == 0 {
		delete(w.byServer, server)
	}
}

// cancelUnusable ends the waiting at the backend servers that are not usable any more.
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
