// Package slots owns the hand-out of an engine's slots: a sidecar grants them in
// the order that its queue decides, and an entry holds one for as long as its call
// lasts. An entry and a sidecar share one connection for all tickets. Slots are bound
// to it, so they are free again when either side is gone. The request itself goes from
// the entry to the engine.
package slots

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

const (
	// Path is where a sidecar takes connections for slots, by an HTTP/1.1 upgrade to
	// upgradeProtocol: then each side sends JSON messages.
	Path            = "/lane/v1/slots"
	upgradeProtocol = "lane-slots"
	// pingInterval is the time between two pings on a connection that carries tickets.
	pingInterval = time.Second
	// silenceLimit is how long such a connection may carry nothing. It is longer than
	// the pauses that a busy machine makes.
	silenceLimit = 4 * time.Second
	// idleLimit closes connections without tickets.
	idleLimit = 15 * time.Second
	// maxListedRequests bounds the requests that the line of a lost connection names; the
	// others have lines of their own.
	maxListedRequests = 20
	// maxMessageBytes bounds a message: its longest part is the request id, which a caller
	// chooses within its headers (256 KiB at most, six times that as JSON).
	maxMessageBytes = 2 << 20
	// maxUpgradeBytes bounds the answer to an upgrade, which is some hundred bytes.
	maxUpgradeBytes = 16 << 10
	// maxOutgoingMessages on one connection mean that the other side doesn't read.
	maxOutgoingMessages = 4096
)

// Ask describes the request that a slot is for.
type Ask struct {
	RequestID string `json:"request_id"`
	Account   string `json:"account,omitempty"`
	Rank      uint32 `json:"rank"`
	// BudgetMS is the time left until the deadline, in milliseconds.
	BudgetMS int64 `json:"budget_ms"`
	// ObjectiveMS is the time left until the first token should come, if HasObjective is
	// set; it may be negative. LateHoldMS is how long past it the request may wait.
	HasObjective bool  `json:"has_objective,omitempty"`
	ObjectiveMS  int64 `json:"objective_ms,omitempty"`
	LateHoldMS   int64 `json:"late_hold_ms,omitempty"`
	// MaxEventGapMS is the longest pause between events that the caller accepts; 0: any.
	MaxEventGapMS int64 `json:"max_event_gap_ms,omitempty"`
	PromptTokens  int   `json:"prompt_tokens,omitempty"`
	OutputTokens  int   `json:"output_tokens,omitempty"`
	// Slots and MemoryTokens are the engine's capacity as the entry knows it.
	Slots        int `json:"slots,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
}

// kind says what a message means.
type kind string

// Kinds of messages.
const (
	// kindRequest, kindFinish and kindWithdraw are an entry's: a new ticket, the end of a
	// request that held a slot, and the end of a ticket or slot that is not used.
	kindRequest  kind = "ask"
	kindFinish   kind = "finish"
	kindWithdraw kind = "withdraw"
	// kindQueued, kindGranted and kindRefused are a sidecar's answers to a ticket.
	kindQueued  kind = "queued"
	kindGranted kind = "granted"
	kindRefused kind = "refused"
	// kindPing shows that an entry lives; a sidecar sends it back.
	kindPing kind = "ping"
)

// message is one message of either side.
type message struct {
	Kind kind `json:"kind"`
	// Ticket numbers the tickets of one connection.
	Ticket uint64 `json:"ticket,omitempty"`
	// Request is set with kindRequest.
	Request *Ask `json:"ask,omitempty"`
	// Result is set with kindFinish.
	Result *result `json:"result,omitempty"`
	// Load is the state of the sidecar's queue, with its answers.
	Load *admission.SlotLoad `json:"load,omitempty"`
	// Reason and RetryAfterMS are set with kindRefused.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// result is what became of a request that held a slot.
type result struct {
	Sent         bool  `json:"sent,omitempty"`
	Failed       bool  `json:"failed,omitempty"`
	FirstTokenUS int64 `json:"first_token_us,omitempty"`
	OutputTokens int   `json:"output_tokens,omitempty"`
}

func newResult(o admission.Outcome) *result {
	return &result{Sent: o.Sent, Failed: o.Failed, FirstTokenUS: o.FirstToken.Microseconds(), OutputTokens: o.OutputTokens}
}

func (r *result) outcome() admission.Outcome {
	return admission.Outcome{
		Sent: r.Sent, Failed: r.Failed, OutputTokens: r.OutputTokens,
		FirstToken: time.Duration(r.FirstTokenUS) * time.Microsecond,
	}
}

// RefusedError says that a sidecar refused a slot.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	Load       admission.SlotLoad
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot: %s; retry after %v", e.Reason, e.RetryAfter)
}

// UnreachableError says that a sidecar did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "sidecar " + e.Address + " did not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// SilentError says that a sidecar took too long to answer.
type SilentError struct{ Waited time.Duration }

func (e *SilentError) Error() string { return fmt.Sprintf("silent for %v", e.Waited) }

// ClosedError says that a connection for slots has ended.
type ClosedError struct {
	// Cause is why; nil: this process closed it.
	Cause error
}

func (e *ClosedError) Error() string {
	if e.Cause == nil {
		return "the connection is closed"
	}
	return "the connection is closed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// OverflowError says that the other side of a connection doesn't read.
type OverflowError struct{ Messages int }

func (e *OverflowError) Error() string {
	return fmt.Sprintf("%d messages wait for the other side to read", e.Messages)
}

// IdleError says that a connection carried no ticket for long.
type IdleError struct{}

func (*IdleError) Error() string { return "nothing was asked for long" }

// ExtraAnswerError says that a sidecar answered a ticket more often than it may.
type ExtraAnswerError struct{ Ticket uint64 }

func (e *ExtraAnswerError) Error() string {
	return fmt.Sprintf("a third answer to the ticket %d", e.Ticket)
}

// StatusError says that a sidecar answered with an unexpected status.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "status " + e.Status }
