// Package rollout owns how the requests of a service move to backend servers of a new
// version that an operator ordered: the share that an unproven version gets, the evidence
// about it, its containment, and the record of how the order ended. It knows no store
// and no wire format (see Log), and sends no requests.
package rollout

import (
	"context"
	"time"
)

// Order is an operator's order to move a service to servers of another version.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// ID tells orders apart; a later order of the service has a higher one.
	ID uint64
}

// State is how far an order has come.
type State int

// States of an order. Completed and Reverted are final.
const (
	StateNone State = iota
	StateActive
	StateCompleted
	StateReverted
)

// Final reports whether an order has ended.
func (s State) Final() bool { return s == StateCompleted || s == StateReverted }

func (s State) String() string {
	switch s {
	case StateActive:
		return "active"
	case StateCompleted:
		return "completed"
	case StateReverted:
		return "reverted"
	}
	return "none"
}

// Record is what is written of an order, for the operator and for other entries.
type Record struct {
	Service string
	Target  string
	// Order is the ID of the order; 0: not told.
	Order uint64
	State State
	// Began is when the order was first seen, by the time of day of the entry that wrote
	// the record; zero: not told.
	Began time.Time
}

// matches reports whether a record is about an order.
func (r Record) matches(o Order) bool {
	return r.Service == o.Service && r.Target == o.Target && (r.Order == 0 || r.Order == o.ID)
}

// Log keeps the newest record of each service.
type Log interface {
	// Current returns the newest record of a service (its zero value if there is none),
	// and the end of the log at that moment.
	Current(ctx context.Context, service string) (record Record, end uint64, err error)
	// Append adds a record if the log still ends where it did. A call that fails may have
	// been executed, or may be later.
	Append(ctx context.Context, record Record, end uint64) error
}

// Bounds are the deployment's limits on what an unproven version may get.
type Bounds struct {
	// Share is the part of a service's requests, from the order to its deadline, that a bad
	// version may get, and Slack a number of requests beyond.
	Share float64
	Slack float64
}

// Standing is this entry's place among the entries.
type Standing struct {
	// Rank is the number of live entries that come before this one.
	Rank int
	// Known is the number of entries, this one included, that were heard lately.
	Known int
	// Quorate says that most of them are alive.
	Quorate bool
}
