package roster

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// Standing returns this entry's place among the entries, by their ids.
func (r *Roster) Standing() rollout.Membership {
	now := time.Now()
	alive, known := 1, 1
	standing := rollout.Membership{}
	r.mu.Lock()
	defer r.mu.Unlock()
	within := r.aliveWithin()
	for _, m := range r.members {
		if now.Sub(m.heard) < within {
			alive++
			if m.id < r.options.ID {
				standing.Rank++
			}
		}
		if now.Sub(m.heard) < knownFor {
			known++
		}
	}
	standing.Entries, standing.HasQuorum = known, 2*alive > known
	return standing
}
