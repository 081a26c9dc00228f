package entry

import (
	"net/http"
	"sync"
	"time"
)

// floorValidity is how long the tiers below a floor are refused after the pool has shed a request.
// Each further shed request extends it.
const floorValidity = 500 * time.Millisecond

// checkFloor returns a problem if the tier of the call is below the floor of its pool.
func (e *Entry) checkFloor(c *call) *Problem {
	floor, ok := e.options.Floors.Floor(c.route.GetPool())
	if !ok || c.tier.GetRank() <= floor {
		return nil
	}
	return notRunProblem(KindShed, http.StatusServiceUnavailable, "higher tiers need the backend servers").withRetryAfter(defaultRetryAfter)
}

// announceFloor sets the floor of the call's pool to the rank of the call, here and at the other
// entries. It is called when a call of this rank was shed.
func (e *Entry) announceFloor(c *call) {
	e.options.Floors.AnnounceFloor(c.route.GetPool(), c.tier.GetRank(), floorValidity)
}

// localFloors is the Floors implementation of a single entry, without exchange between entries.
type localFloors struct {
	mu     sync.Mutex
	floors map[string]localFloor
}

// localFloor is the floor of one pool: the lowest rank still served, and when the floor expires.
type localFloor struct {
	rank  uint32
	until time.Time
}

func newLocalFloors() *localFloors { return &localFloors{floors: map[string]localFloor{}} }

// Floor returns the lowest rank that the pool still serves while shedding, and false if it serves
// all ranks. A higher number is a lower rank.
func (f *localFloors) Floor(pool string) (uint32, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	floor, ok := f.floors[pool]
	return floor.rank, ok && time.Now().Before(floor.until)
}

// AnnounceFloor sets the floor of a pool unless a stricter one is in force.
func (f *localFloors) AnnounceFloor(pool string, rank uint32, valid time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	current, ok := f.floors[pool]
	if ok && now.Before(current.until) && current.rank < rank {
		return
	}
	f.floors[pool] = localFloor{rank: rank, until: now.Add(valid)}
}
