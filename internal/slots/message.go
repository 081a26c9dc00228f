// Package slots implements the protocol by which entries acquire an engine's slots. A sidecar
// grants slots in the order of its queue, and an entry holds a slot for the duration of its
// call. An entry and a sidecar share one connection for all tickets. Slots are bound to that
// connection, so they are freed when it ends. The request itself goes directly from the entry to
// the engine. If the sidecar is lost, a deputy grants the slots of its engine by the same protocol.
package slots

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

const (
	// Path is where a sidecar accepts connections for slots. After an HTTP/1.1 upgrade to
	// Protocol, both sides send JSON messages.
	Path     = "/lane/v1/slots"
	Protocol = "lane-slots"
	// pingInterval is the time between pings on a connection with tickets.
	pingInterval = time.Second
	// silenceLimit is how long a connection with tickets may be silent before it is closed. It
	// is longer than the pauses of a process on a busy machine.
	silenceLimit = 4 * time.Second
	// idleLimit is how long a connection without tickets is kept open.
	idleLimit = 15 * time.Second
	// maxListedRequests limits the request ids listed in the log line of a lost connection. All
	// requests also have log lines of their own.
	maxListedRequests = 20
	// maxMessageBytes limits a message. Its longest part is the request id, which a caller
	// chooses within the header limit (at most 256 KiB, six times that as JSON).
	maxMessageBytes = 2 << 20
	// maxUpgradeBytes limits the answer to an upgrade, which is some hundred bytes long.
	maxUpgradeBytes = 16 << 10
	// maxOutgoingMessages is the number of queued messages above which the peer is considered
	// not to read.
	maxOutgoingMessages = 4096
)

// ReasonNotResponsible is the reason of a refusal by an entry that isn't the engine's deputy.
const ReasonNotResponsible = "not responsible for the engine"

// Request describes a request for a slot.
type Request struct {
	RequestID string `json:"request_id"`
	Account   string `json:"account,omitempty"`
	Rank      uint32 `json:"rank"`
	// BudgetMS is the time left until the deadline, in milliseconds.
	BudgetMS int64 `json:"budget_ms"`
	// ObjectiveMS is the time left until the first token should be sent, if HasObjective is set;
	// it may be negative. LateHoldMS is how long past the objective the request may wait.
	HasObjective bool  `json:"has_objective,omitempty"`
	ObjectiveMS  int64 `json:"objective_ms,omitempty"`
	LateHoldMS   int64 `json:"late_hold_ms,omitempty"`
	// AgeMS is how long the caller had been waiting before this attempt, as far as is known.
	AgeMS int64 `json:"age_ms,omitempty"`
	// MaxEventGapMS is the longest pause between events that the caller accepts; 0 means any.
	MaxEventGapMS int64 `json:"max_event_gap_ms,omitempty"`
	PromptTokens  int   `json:"prompt_tokens,omitempty"`
	OutputTokens  int   `json:"output_tokens,omitempty"`
	// Slots and MemoryTokens are the engine's capacity according to the entry's configuration.
	Slots        int `json:"slots,omitempty"`
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// Server is the engine's incarnation. RateLimit is what the entry knows of its rate limit; nil if
	// it knows nothing.
	Server    fleet.Incarnation         `json:"server"`
	RateLimit *backpressure.LimitReport `json:"rate_limit,omitempty"`
	// ColdRate is the number of requests a second that the engine tolerates for ColdLeftMS more, in which it warms
	// up; 0 if it isn't cold.
	ColdRate   float64 `json:"cold_requests_per_second,omitempty"`
	ColdLeftMS int64   `json:"cold_left_ms,omitempty"`
}

// kind is the type of a message.
type kind string

// Kinds of messages.
const (
	// kindRequest, kindFinish and kindWithdraw are sent by an entry: a new ticket, the end of a
	// request that held a slot, and the end of a ticket or slot that was not used.
	kindRequest  kind = "ask"
	kindFinish   kind = "finish"
	kindWithdraw kind = "withdraw"
	// kindRateLimit is sent by an entry that the engine has just told another rate limit.
	kindRateLimit kind = "rate-limit"
	// kindQueued, kindGranted and kindRefused are a sidecar's answers to a ticket.
	kindQueued  kind = "queued"
	kindGranted kind = "granted"
	kindRefused kind = "refused"
	// kindPing shows that an entry is alive; a sidecar returns it.
	kindPing kind = "ping"
)

// message is a message in either direction.
type message struct {
	Kind kind `json:"kind"`
	// Ticket is the number of the ticket, unique within the connection.
	Ticket uint64 `json:"ticket,omitempty"`
	// Request is set with kindRequest.
	Request *Request `json:"ask,omitempty"`
	// Unaccounted is set with kindRequest and kindPing: the number of requests that the entry runs at
	// the engine without a slot granted over this connection.
	Unaccounted int `json:"unaccounted,omitempty"`
	// Result is set with kindFinish.
	Result *result `json:"result,omitempty"`
	// Load is the state of the sidecar's queue; it is set in its answers.
	Load *admission.SlotLoad `json:"load,omitempty"`
	// Reason and RetryAfterMS are set with kindRefused.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// RateLimit is the engine's rate limit. It is set with kindRateLimit, together with Server, and with
	// kindRefused if that is the reason.
	RateLimit *backpressure.LimitReport `json:"rate_limit,omitempty"`
	Server    *fleet.Incarnation        `json:"server,omitempty"`
}

// result is the outcome of a request that held a slot.
type result struct {
	Unsent       bool  `json:"unsent,omitempty"`
	Sent         bool  `json:"sent,omitempty"`
	Failed       bool  `json:"failed,omitempty"`
	FirstTokenUS int64 `json:"first_token_us,omitempty"`
	OutputTokens int   `json:"output_tokens,omitempty"`
}

func newResult(o admission.Outcome) *result {
	return &result{Unsent: o.Unsent, Sent: o.Sent, Failed: o.Failed, FirstTokenUS: o.FirstToken.Microseconds(), OutputTokens: o.OutputTokens}
}

func (r *result) outcome() admission.Outcome {
	return admission.Outcome{
		Unsent: r.Unsent, Sent: r.Sent, Failed: r.Failed, OutputTokens: r.OutputTokens,
		FirstToken: time.Duration(r.FirstTokenUS) * time.Microsecond,
	}
}

// RefusedError reports that a sidecar refused a slot.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	Load       admission.SlotLoad
	// RateLimit is the engine's rate limit if that is the reason, or nil.
	RateLimit *backpressure.LimitReport
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("no slot: %s; retry after %v", e.Explain(), e.RetryAfter)
}

// Explain returns the reason with its inputs.
func (e *RefusedError) Explain() string {
	if e.RateLimit == nil {
		return e.Reason
	}
	return fmt.Sprintf("%s of %g requests a second, named %d ms ago to %s", e.Reason, e.RateLimit.PerSecond, e.RateLimit.AgeMS, e.RateLimit.By)
}

// UnreachableError reports that a sidecar could not be reached or did not answer.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return "sidecar " + e.Address + " did not answer: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// SilentError reports that a sidecar took too long to answer.
type SilentError struct{ Waited time.Duration }

func (e *SilentError) Error() string { return fmt.Sprintf("no message received for %v", e.Waited) }

// ClosedError reports that a connection for slots was closed.
type ClosedError struct {
	// Cause is why the connection was closed; nil if this process closed it.
	Cause error
}

func (e *ClosedError) Error() string {
	if e.Cause == nil {
		return "connection closed"
	}
	return "connection closed: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// OverflowError reports that the peer of a connection doesn't read its messages.
type OverflowError struct{ Messages int }

func (e *OverflowError) Error() string {
	return fmt.Sprintf("the peer doesn't read: %d messages are queued", e.Messages)
}

// IdleError reports that a connection had no tickets for idleLimit.
type IdleError struct{}

func (*IdleError) Error() string { return "no tickets were submitted within the idle limit" }

// ExtraAnswerError reports that a sidecar sent more answers to a ticket than allowed.
type ExtraAnswerError struct{ Ticket uint64 }

func (e *ExtraAnswerError) Error() string {
	return fmt.Sprintf("more answers than allowed to ticket %d", e.Ticket)
}

// StatusError reports that a sidecar answered an upgrade with an unexpected status.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return "status " + e.Status }
