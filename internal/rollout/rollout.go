// Package rollout moves the requests of a service to backend servers of a new version that an
// operator ordered. It controls the share of an unproven version, collects evidence about it,
// contains a faulty version, and records how the order ended. It depends on no store and no
// wire format (see Log), and sends no requests.
package rollout

import (
	"context"
	"fmt"
	"time"
)

// Order is an operator's order to move a service to servers of another version.
type Order struct {
	Service string
	Target  string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// ID identifies the order. A later order of the same service has a higher ID.
	ID uint64
}

// orderEraShift is the position of the store's era in an order ID. The offset below it has 40 bits.
const orderEraShift = 40

// NewOrderID returns the ID of the order that has a positive number in an era of the store. Later eras have higher
// IDs, as the store gives out numbers again when it comes back from an older copy.
func NewOrderID(era, number uint64) uint64 { return era<<orderEraShift | number }

// sameOrder reports whether two IDs belong to one order: it was read in two eras of the store.
func sameOrder(a, b uint64) bool {
	const numbers = 1<<orderEraShift - 1
	return a&numbers == b&numbers
}

// State is the recorded state of an order.
type State int

// States of an order. StateCompleted and StateReverted are final.
const (
	StateNone State = iota
	StateActive
	StateCompleted
	StateReverted
)

// Final reports whether the order has ended.
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

// Record is the persistent state of an order, read by the operator and by other entries.
type Record struct {
	Service string
	Target  string
	// Order is the ID of the order, 0 if unspecified.
	Order uint64
	State State
	// FirstSeen is when the order was first seen, by the wall clock of the entry that wrote the
	// record. It is zero if unspecified.
	FirstSeen time.Time
}

// matches reports whether a record belongs to an order.
func (r Record) matches(o Order) bool {
	return r.Service == o.Service && r.Target == o.Target && (r.Order == 0 || sameOrder(r.Order, o.ID))
}

// Log stores the newest record of each service.
type Log interface {
	// Current returns the newest record of a service, or its zero value if there is none, and
	// the current end of the log.
	Current(ctx context.Context, service string) (record Record, end Position, err error)
	// Append adds a record if the log still ends at end. A call that returns an error may have
	// taken effect, or may do so later.
	Append(ctx context.Context, record Record, end Position) error
}

// Position is a position in the log. Offsets of different eras of the store can't be compared.
type Position struct{ Offset, Era uint64 }

// EraError reports that the log is in another era of the store than the known orders, which are then read again before
// a state is recorded.
type EraError struct{ Known, Log uint64 }

func (e *EraError) Error() string {
	return fmt.Sprintf("the orders are known of era %d, the log is in era %d", e.Known, e.Log)
}

// Bounds limit the requests that an unproven version may get in the deployment.
type Bounds struct {
	// Share is the fraction of a service's requests, from the order to its deadline, that a
	// faulty version may get. Slack is a number of requests allowed in addition.
	Share float64
	Slack float64
}

// Membership is the rank of this entry and the state of its peers.
type Membership struct {
	// Rank is the number of live entries ordered before this one.
	Rank int
	// Entries is the number of entries from which a message was received recently, including this
	// one.
	Entries int
	// HasQuorum is set if a majority of them is alive.
	HasQuorum bool
}
