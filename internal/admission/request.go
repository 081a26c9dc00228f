// Package admission owns the queue of one backend server. It decides which
// request gets the next dispatch slot and which request is refused: tiers come
// strictly by rank, client accounts share a tier by weight, and the requests of one
// account go by deadline. It also learns the speed of the backend server and how many
// requests it can run at a time.
//
// The package knows no transport and starts no goroutine. Callers pass the time in.
package admission

import (
	"fmt"
	"time"
)

const (
	// MaxRank is the lowest tier rank that is told apart; larger ranks count as this one.
	MaxRank = 15
	// topRank is the rank of the highest tier.
	topRank = 0
	// outputTokenWork is the work of one output token in prefill-equivalent tokens.
	outputTokenWork = 8
)

// Request is what the queue needs to know of one request.
type Request struct {
	// ID is the dispatch id.
	ID      string
	Account string
	// Weight is the account's share within its tier; 0 counts as 1.
	Weight uint32
	// Rank is the tier's rank; 0 is the highest tier.
	Rank uint32
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Objective is when the first token should be there; zero: no objective. Only a
	// SlotQueue goes by it.
	Objective time.Time
	// LateHold is how long past its objective the request may still wait for a slot.
	LateHold time.Duration
	// MaxEventGap is the longest pause between two events of the answer that the caller
	// accepts; 0: any.
	MaxEventGap  time.Duration
	Route        string
	Version      string
	PromptTokens uint32
	OutputTokens uint32
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
}

// Reason says why a request was refused.
type Reason int

// Reasons of a refusal.
const (
	// ReasonShed means that the queue is full of requests that go first.
	ReasonShed Reason = iota + 1
	// ReasonDeadline means that the answer can't be there in time.
	ReasonDeadline
	// ReasonDraining means that the backend server takes no more requests.
	ReasonDraining
	// ReasonVersion means that the version is no longer served.
	ReasonVersion
	// ReasonUnhealthy means that the backend server can't be reached.
	ReasonUnhealthy
	// ReasonBarred means that the dispatch was revoked.
	ReasonBarred
)

func (r Reason) String() string {
	switch r {
	case ReasonShed:
		return "shed"
	case ReasonDeadline:
		return "deadline"
	case ReasonDraining:
		return "draining"
	case ReasonVersion:
		return "version"
	case ReasonUnhealthy:
		return "unhealthy"
	case ReasonBarred:
		return "barred"
	}
	return "unknown"
}

// RefusedError says that a request got no dispatch slot and never will.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when a retry makes sense; 0 means at once, elsewhere.
	RetryAfter time.Duration
	// FloorRank is the lowest tier rank that is still served or queued.
	FloorRank uint32
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %v; retry after %v", e.Reason, e.RetryAfter)
}

type ticketState int

const (
	stateNew ticketState = iota
	stateQueued
	stateGranted
	stateRunning
	stateFinished
	stateRefused
)

// Ticket is a request's place in the queue, then its dispatch slot. Its fields
// are guarded by the queue's lock.
type Ticket struct {
	request Request
	state   ticketState
	// decided is closed when the ticket is granted or refused.
	decided chan struct{}
	refusal *RefusedError

	account *account
	// index is the place in the account's heap.
	index int
	// arrival rises with each ticket.
	arrival uint64

	// work is what the request costs, in prefill-equivalent tokens.
	work float64
	// prefill is the number of prompt tokens that are not believed cached.
	prefill float64
	// inPrefill is true from the grant to the first token.
	inPrefill bool

	started time.Time
	// prefillAtStart is the prefill work that ran when the request started, its own included.
	prefillAtStart float64
	lastEvent      time.Time
	events         int
}

// Decided returns a channel that is closed once the ticket is granted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns why a decided ticket was refused, or nil if it was granted.
// It may only be called after Decided is closed.
func (t *Ticket) Refusal() *RefusedError { return t.refusal }

// Request returns the request of the ticket.
func (t *Ticket) Request() Request { return t.request }
