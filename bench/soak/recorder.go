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
func (r *recorder) RecordArrival(server *standin.Server, id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[id] = append(r.arrivals[id], arrival{server: server, service: server.Service, at: at})
}

// RecordRun implements standin.Ledger.
func (r *recorder) RecordRun(run standin.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[run.ID] = append(r.runs[run.ID], run)
}
