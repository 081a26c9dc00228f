package roster

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// Standing returns this entry's place among the entries, by their ids.
func (r *Roster) Standing() rollout.Membership {
	now := time.Now()
	alive, total := 1, 1
	membership := rollout.Membership{}
	r.mu.Lock()
	defer r.mu.Unlock()
	timeout := r.aliveTimeout()
	for _, m := range r.members {
		if now.Sub(m.lastHeard) < timeout {
			alive++
			if m.id < r.options.ID {
				membership.Rank++
			}
		}
		if now.Sub(m.lastHeard) < quorumTimeout {
			total++
		}
	}
	membership.Entries, membership.HasQuorum = total, 2*alive > total
	return membership
}
