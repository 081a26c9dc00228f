package entry

import (
	"net/http"
	"sync"
	"time"
)

// floorValidity is how long lower tiers are held out of a pool after it has shed a
// request. Each further one extends it.
const floorValidity = 500 * time.Millisecond

// checkFloor refuses a call whose tier is held out of its pool.
func (e *Entry) checkFloor(one *call) *Problem {
	floor, ok := e.options.Floors.Floor(one.route.GetPool())
	if !ok || one.tier.GetRank() <= floor {
		return nil
	}
	return notRunProblem(KindShed, http.StatusServiceUnavailable, "higher tiers need the backend servers").withRetryAfter(defaultRetryAfter)
}

// announceFloor keeps the tiers below a call's out of its pool, here and at the
// other entries: a call of this tier was shed.
func (e *Entry) announceFloor(one *call) {
	e.options.Floors.AnnounceFloor(one.route.GetPool(), one.tier.GetRank(), floorValidity)
}

// localFloors holds the floors of one entry.
type localFloors struct {
	mu     sync.Mutex
	floors map[string]localFloor
}

type localFloor struct {
	rank  uint32
	until time.Time
}

func newLocalFloors() *localFloors { return &localFloors{floors: map[string]localFloor{}} }

// Floor returns the lowest rank that a pool still takes.
func (f *localFloors) Floor(pool string) (uint32, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	floor, ok := f.floors[pool]
	return floor.rank, ok && time.Now().Before(floor.until)
}

// AnnounceFloor keeps the strictest floor in force.
func (f *localFloors) AnnounceFloor(pool string, rank uint32, valid time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	held, ok := f.floors[pool]
	if ok && now.Before(held.until) && held.rank < rank {
		return
	}
	f.floors[pool] = localFloor{rank: rank, until: now.Add(valid)}
}
