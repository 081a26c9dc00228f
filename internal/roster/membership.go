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
