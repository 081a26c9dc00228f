package engine

import (
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
)

// FaultKind is what is wrong with a bad version.
type FaultKind string

// Faults of bad versions.
const (
	// FaultFail answers 500.
	FaultFail FaultKind = "fail"
	// FaultSlow computes more slowly by a factor.
	FaultSlow FaultKind = "slow"
	// FaultCut breaks the connection after half the answer.
	FaultCut FaultKind = "cut"
	// FaultWrong answers with another text.
	FaultWrong FaultKind = "wrong"
)

// Fault describes a bad version.
type Fault struct {
	Version string    `json:"version"`
	Kind    FaultKind `json:"kind"`
	// Factor of FaultSlow.
	Factor float64 `json:"factor,omitempty"`
	// AfterMS is when the fault shows, in milliseconds after the switch was set.
	AfterMS int64 `json:"after_ms,omitempty"`
	// OverLoad is the part of the batch, 0 to 1, above which the fault shows.
	OverLoad float64 `json:"over_load,omitempty"`
	// Route on which the fault shows; empty: on all.
	Route string `json:"route,omitempty"`
}

// Switches change the engine while it runs, by POST /control.
type Switches struct {
	// SlowFactor multiplies all costs when above 1.
	SlowFactor float64 `json:"slow_factor"`
	Faults     []Fault `json:"faults"`
}

// Set replaces the switches; times of faults count from now.
func (e *Engine) Set(switches Switches) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.switches = switches
	e.switchesSetAt = time.Now()
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var switches Switches
	if err := control.ReadJSON(r, &switches); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	e.Set(switches)
	control.WriteJSON(w, http.StatusOK, switches)
}

func (e *Engine) costFactor() float64 { return max(1, e.switches.SlowFactor) }

// activeFault returns the fault that a call meets now. The lock is held.
func (e *Engine) activeFault(version, route string) Fault {
	load := float64(len(e.running)+len(e.waiting)) / float64(e.options.MaxBatch)
	age := time.Since(e.switchesSetAt)
	for _, fault := range e.switches.Faults {
		if fault.Version != version || (fault.Route != "" && fault.Route != route) {
			continue
		}
		if age < time.Duration(fault.AfterMS)*time.Millisecond || load < fault.OverLoad {
			continue
		}
		return fault
	}
	return Fault{}
}
