package fleet

import (
	"sync"
	"time"
)

// Holder holds the manifest in force. Its version never goes back. It is safe for
// concurrent use.
type Holder struct {
	mu       sync.RWMutex
	manifest *Manifest
	// verifiedAt is a moment (steady clock) up to which the manifest is known to be
	// the newest one.
	verifiedAt time.Time
}

// Set puts a manifest in force and reports whether it is newer than the one before.
func (h *Holder) Set(m *Manifest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.manifest != nil && m.Version <= h.manifest.Version {
		return false
	}
	h.manifest = m
	return true
}

// Confirm says that the manifest in force was the newest one at a moment.
func (h *Holder) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.verifiedAt) {
		h.verifiedAt = at
	}
}

// Current returns the manifest in force, nil if none is known, and the moment up to
// which it is known to be the newest one.
func (h *Holder) Current() (*Manifest, time.Time) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.manifest, h.verifiedAt
}
