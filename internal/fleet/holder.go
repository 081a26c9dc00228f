package fleet

import (
	"sync"
	"time"
)

// Holder holds the manifest in force. The version never decreases. It is safe for concurrent
// use.
type Holder struct {
	mu       sync.RWMutex
	manifest *Manifest
	// verifiedAt is when the manifest was last verified as the newest one, a time of the clock
	// that counts suspension (package steady).
	verifiedAt time.Time
}

// Set puts a manifest in force if it is newer than the current one, and reports whether it is.
func (h *Holder) Set(m *Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest != nil && m.Version <= h.manifest.Version {
		return false
	}
	h.manifest = m
	return true
}

// MarkVerified records that the manifest in force was verified as the newest one at a time of
// package steady.
func (h *Holder) MarkVerified(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.verifiedAt) {
		h.verifiedAt = at
	}
}

// Current returns the manifest in force, or nil if there is none, and the time at which it was
// last verified as the newest one.
func (h *Holder) Current() (*Manifest, time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.manifest, h.verifiedAt
}
