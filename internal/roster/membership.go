package roster

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// Membership returns the rank of this entry by id among the live entries, the number of known
// entries, and whether a majority of these is alive.
func (r *Roster) Membership() rollout.Membership {
	now := time.Now()
	alive, total := 1, 1
	membership := rollout.Membership{}
	r.mu.Lock()
	defer r.mu.Unlock()
	timeout := r.aliveTimeout()
	for _, m := range r.members {
		if now.Sub(m.reportedAt) < timeout {
			alive++
			if m.id < r.options.ID {
				membership.Rank++
			}
		}
		if now.Sub(m.reportedAt) < knownTimeout {
			total++
		}
	}
	membership.Entries, membership.HasQuorum = total, 2*alive > total
	return membership
}

// IsIsolated reports whether this entry hears of no majority of the known entries, or of no other one at all although others
// are registered.
func (r *Roster) IsIsolated() bool {
	alive, hasQuorum := r.Alive()
	r.mu.Lock()
	defer r.mu.Unlock()
	return !hasQuorum || alive == 1 && len(r.members) > 0
}

// Entry is a process of the roster.
type Entry struct {
	ID string
	// Address is the address for other processes.
	Address string
}

// KnownEntries returns this entry and all others that have reported recently or haven't been called
// yet.
func (r *Roster) KnownEntries() []Entry {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make([]Entry, 0, len(r.members)+1)
	known = append(known, Entry{ID: r.options.ID, Address: r.options.Address})
	for _, m := range r.members {
		if untried := m.reportedAt.IsZero() && !m.failed; untried || now.Sub(m.reportedAt) < knownTimeout {
			known = append(known, Entry{ID: m.id, Address: m.address})
		}
	}
	return known
}
