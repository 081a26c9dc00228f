// Package config implements the configuration as a replicated state machine: it applies the
// records of the configuration stream to a State. The result must be the same in every process,
// so it must not depend on a clock, on the process, or on the scheduling of goroutines.
package config

import (
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// View provides the current configuration of this process.
type View interface {
	// Current returns the latest state. It is never nil and must not be modified.
	Current() *configpb.State
	// Changed returns a channel that is closed when the state changes next.
	Changed() <-chan struct{}
}

// Holder is a View with a settable state. The zero value holds an empty state.
type Holder struct {
	mu      sync.Mutex
	state   *configpb.State
	changed chan struct{}
}

// Current returns the latest state.
func (h *Holder) Current() *configpb.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state == nil {
		h.state = &configpb.State{}
	}
	return h.state
}

// Changed returns a channel that is closed when the state changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Set publishes a state unless it is older than the current one: an accepted configuration
// never reverts. It reports whether the state was published.
func (h *Holder) Set(state *configpb.State) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != nil && state.GetOffset() < h.state.GetOffset() {
		return false
	}
	h.state = state
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}
