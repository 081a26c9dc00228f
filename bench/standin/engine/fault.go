package engine

import (
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
)

// FaultKind is the kind of a version's fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultFail responds with status 500.
	FaultFail FaultKind = "fail"
	// FaultSlow multiplies the computing time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCut closes the connection after half of the answer.
	FaultCut FaultKind = "cut"
	// FaultWrong returns a different text.
	FaultWrong FaultKind = "wrong"
)

// Fault describes a fault of a version and the conditions under which it occurs.
type Fault struct {
	Version string    `json:"version"`
	Kind    FaultKind `json:"kind"`
	// Factor is the factor by which FaultSlow slows down computing.
	Factor float64 `json:"factor,omitempty"`
	// AfterMS is the delay from the setting of the switches to the first occurrence,
	// in milliseconds.
	AfterMS int64 `json:"after_ms,omitempty"`
	// MinLoad is the ratio of running and waiting calls to the batch size from which
	// the fault occurs.
	MinLoad float64 `json:"over_load,omitempty"`
	// Route restricts the fault to one route. If it is empty, all routes are affected.
	Route string `json:"route,omitempty"`
}

// Switches are settings of a running engine, set by POST /control.
type Switches struct {
	// SlowFactor multiplies all costs if it is above 1.
	SlowFactor float64 `json:"slow_factor"`
	Faults     []Fault `json:"faults"`
	// DeadlyPrompt is a text in prompts to which the engine closes the connection without an answer, and whose calls it
	// forgets, as if it had ended; none if empty.
	DeadlyPrompt string `json:"deadly_prompt,omitempty"`
}

// Set replaces the switches. Delays of faults count from this call.
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

// activeFault returns the fault that currently applies to a version and route, or
// the zero Fault. The caller holds e.mu.
func (e *Engine) activeFault(version, route string) Fault {
	load := float64(len(e.running)+len(e.waiting)) / float64(e.options.MaxBatch)
	age := time.Since(e.switchesSetAt)
	for _, fault := range e.switches.Faults {
		if fault.Version != version || (fault.Route != "" && fault.Route != route) {
			continue
		}
		if age < time.Duration(fault.AfterMS)*time.Millisecond || load < fault.MinLoad {
			continue
		}
		return fault
	}
	return Fault{}
}
