package soak

import (
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// arrival is a request that reached a backend server.
type arrival struct {
	server  *standin.Server
	service string
	at      time.Time
}

// ledger holds what backend servers saw, by request id. It implements standin.Ledger.
type ledger struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
	runs     map[string][]standin.Run
}

func newLedger() *ledger {
	return &ledger{arrivals: map[string][]arrival{}, runs: map[string][]standin.Run{}}
}

// RecordArrival implements standin.Ledger.
func (l *ledger) RecordArrival(server *standin.Server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{server: server, service: server.Service, at: at})
}

// RecordRun implements standin.Ledger.
func (l *ledger) RecordRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.ID] = append(l.runs[run.ID], run)
}
