package soak

import (
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// arrival is the arrival of a request at a backend server.
type arrival struct {
	server  *standin.Server
	service string
	at      time.Time
}

// recorder records the arrivals and runs at backend servers by request id. It implements
// standin.Ledger.
type recorder struct {
	mu       sync.Mutex
	arrivals map[string][]arrival
	runs     map[string][]standin.Run
}

func newRecorder() *recorder {
	return &recorder{arrivals: map[string][]arrival{}, runs: map[string][]standin.Run{}}
}

// RecordArrival implements standin.Ledger.
func (l *recorder) RecordArrival(server *standin.Server, id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{server: server, service: server.Service, at: at})
}

// RecordRun implements standin.Ledger.
func (l *recorder) RecordRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.ID] = append(l.runs[run.ID], run)
}
