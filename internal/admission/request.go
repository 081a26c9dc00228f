// Package admission implements the admission queues of backend servers. A queue decides which
// request gets the next dispatch slot and which request is refused: tiers have strict priority
// by rank, client accounts share a tier by weight, and the requests of one account are ordered
// by deadline. A queue also estimates the speed of its backend server and the number of
// requests that it can run concurrently.
//
// There are two queues. Queue, used by package sidecar, can adapt its concurrency limit to observed
// response times. SlotQueue, used by package slots, grants a given number of slots.
//
// The package is independent of the transport and starts no goroutines. Callers pass in the
// time.
package admission

import (
	"fmt"
	"time"
)

const (
	// MaxRank is the lowest tier rank; larger ranks are treated as MaxRank.
	MaxRank = 15
	// topRank is the rank of the highest tier.
	topRank = 0
	// outputTokenWork is the work of one output token, in prefill-equivalent tokens.
	outputTokenWork = 8
)

// Request describes a request to the admission queue.
type Request struct {
	// ID is the dispatch id.
	ID      string
	Account string
	// Weight is the account's weight within its tier; 0 is treated as 1.
	Weight uint32
	// Rank is the tier's rank; 0 is the highest tier.
	Rank uint32
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Objective is the target time of the first token; zero if there is none. Only SlotQueue
	// uses it.
	Objective time.Time
	// Age is how long the caller had been waiting before this request, in attempts that were refused. Its objective
	// counts from the first attempt; how long the request may wait does not. Only SlotQueue uses it.
	Age time.Duration
	// LateHold is how long past its objective the request may still wait for a slot.
	LateHold time.Duration
	// MaxEventGap is the longest pause between two response events that the caller accepts; 0
	// is unlimited.
	MaxEventGap  time.Duration
	Route        string
	Version      string
	PromptTokens uint32
	OutputTokens uint32
	// Prefixes are hashes of the prompt's leading blocks, shortest prefix first.
	Prefixes []uint64
}

// Reason is the reason of a refusal.
type Reason int

// Reasons of a refusal.
const (
	// ReasonShed means that the queue is full of requests with higher priority.
	ReasonShed Reason = iota + 1
	// ReasonDeadline means that the request cannot meet its deadline or objective.
	ReasonDeadline
	// ReasonDraining means that the backend server accepts no more requests.
	ReasonDraining
	// ReasonVersion means that the requested version is no longer served.
	ReasonVersion
	// ReasonUnhealthy means that the backend server is unreachable or unhealthy.
	ReasonUnhealthy
	// ReasonBarred means that the dispatch was revoked or withdrawn.
	ReasonBarred
	// ReasonRateLimit means that the backend server's rate limit doesn't allow the request in time.
	ReasonRateLimit
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
	case ReasonRateLimit:
		return "rate limit"
	}
	return "unknown"
}

// RefusedError is returned for a request that was refused a dispatch slot.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the delay before a retry; 0 means to retry on another backend server at once.
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

// Ticket is a request's place in a Queue and, once granted, its dispatch slot. Its fields are
// guarded by the queue's lock.
type Ticket struct {
	request Request
	state   ticketState
	// decided is closed when the ticket is granted or refused.
	decided chan struct{}
	refusal *RefusedError

	account *account
	// index is the position in the account's heap.
	index int
	// arrival is the sequence number of the ticket.
	arrival uint64

	// work is the cost of the request, in prefill-equivalent tokens.
	work float64
	// prefill is the number of prompt tokens that are not estimated to be cached.
	prefill float64
	// inPrefill is true from the grant to the first token.
	inPrefill bool

	started time.Time
	// prefillAtStart is the number of prompt tokens in prefill when the request started, its own
	// included.
	prefillAtStart float64
	lastEvent      time.Time
	events         int
}

// Decided returns a channel that is closed when the ticket is granted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns the reason for which the ticket was refused, or nil if it was granted. It
// must not be called before Decided is closed.
func (t *Ticket) Refusal() *RefusedError { return t.refusal }

// Request returns the request of the ticket.
func (t *Ticket) Request() Request { return t.request }
