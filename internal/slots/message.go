// Package slots owns the hand-out of an engine's slots: a sidecar grants them in
// the order that its queue decides, and an entry holds one for as long as its call
// lasts. A slot is bound to the HTTP/2 stream that asked for it, so it is free again
// when either side is gone. The request itself goes from the entry to the engine.
package slots

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

// Path is where a sidecar hands out slots.
const Path = "/lane/v1/slot"

// loadHeader carries the load of the sidecar's queue, as JSON, in the head of an answer.
const loadHeader = "Lane-Load"

// Ask describes the request that a slot is for.
type Ask struct {
	RequestID string `json:"request_id"`
	Account   string `json:"account,omitempty"`
	Rank      uint32 `json:"rank"`
	// BudgetMS is the time left until the deadline, in milliseconds.
	BudgetMS int64 `json:"budget_ms"`
	// ObjectiveMS is the time left until the first token should come, if HasObjective is
	// set; it may be negative. LateHoldMS is how long past it the request may wait.
	HasObjective bool  `json:"has_objective"`
	ObjectiveMS  int64 `json:"objective_ms"`
	LateHoldMS   int64 `json:"late_hold_ms"`
	PromptTokens int   `json:"prompt_tokens"`
	OutputTokens int   `json:"output_tokens"`
	// Slots and MemoryTokens are the engine's capacity as the entry knows it.
	Slots        int `json:"slots"`
	MemoryTokens int `json:"memory_tokens"`
}

// decision is the first line of an answer's body.
type decision struct {
	Granted      bool               `json:"granted"`
	Reason       string             `json:"reason,omitempty"`
	RetryAfterMS int64              `json:"retry_after_ms,omitempty"`
	Load         admission.SlotLoad `json:"load"`
}

// result is the last line of a request's body: what became of the request.
type result struct {
	Sent         bool  `json:"sent"`
	Failed       bool  `json:"failed"`
	FirstTokenUS int64 `json:"first_token_us"`
	OutputTokens int   `json:"output_tokens"`
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
