package rollout

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// ageTolerance is by how much an order must be older by another entry's account to take
// that over. It is more than an exchange takes: each one makes the order look older.
const ageTolerance = 500 * time.Millisecond

// Report is what one entry tells the others of an order.
type Report struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	Order      uint64 `json:"order"`
	DurationMS int64  `json:"duration_ms"`
	// AgeMS is how old the order is at least.
	AgeMS int64 `json:"age_ms"`
	State State `json:"state"`
	// Stopped says why the target gets nothing more; empty: it may get requests.
	Stopped string `json:"stopped,omitempty"`
	// Moving says that the target is proven and requests move to it.
	Moving bool `json:"moving,omitempty"`
	// Evidence holds what the entry itself has seen since it knows the order
	// (lanepb.Evidence); it only grows.
	Evidence [][]byte `json:"evidence,omitempty"`
}

// told is what this entry tells of its own evidence.
type told struct {
	sum     []*lanepb.Evidence
	encoded [][]byte
}

// heard is what was heard from another entry.
type heard struct {
	boot string
	// encoded is the evidence as it came, sum what it says.
	encoded [][]byte
	sum     map[health.Key]*lanepb.Evidence
}

// Report returns what this entry tells the others.
func (k *Keeper) Report() []Report {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []Report
	for _, v := range k.services {
		c := v.course
		if c == nil {
			continue
		}
		r := Report{
			Service: c.order.Service, Target: c.order.Target, Order: c.order.ID, DurationMS: c.order.Duration.Milliseconds(),
			AgeMS: now.Sub(c.began).Milliseconds(), State: c.state, Stopped: c.stopped, Moving: c.moving,
		}
		if c.open() {
			r.Evidence = c.told.encoded
		}
		all = append(all, r)
	}
	return all
}

// Hear takes what another entry told at a moment.
func (k *Keeper) Hear(id, boot string, reports []Report, at time.Time) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range reports {
		began := at.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		order := Order{Service: r.Service, Target: r.Target, Duration: time.Duration(r.DurationMS) * time.Millisecond, ID: r.Order}
		c := k.ordered(order, began, now, "entry "+id)
		if c.order.ID != r.Order {
			continue
		}
		if c.began.Sub(began) > ageTolerance {
			c.began = began
		}
		c.informed = true
		k.settle(c, r.State, "entry "+id)
		if !c.open() {
			continue
		}
		if r.Stopped != "" {
			k.stop(c, r.Stopped, "entry "+id)
		}
		if r.Moving && c.stopped == "" && !c.moving {
			k.move(c, "entry "+id)
		}
		k.hearEvidence(c, id, boot, r.Evidence)
	}
}

// hearEvidence adds what is new in another entry's evidence.
func (k *Keeper) hearEvidence(c *course, id, boot string, encoded [][]byte) {
	h := c.peers[id]
	if h == nil || h.boot != boot {
		h = &heard{boot: boot, sum: map[health.Key]*lanepb.Evidence{}}
		c.peers[id] = h
	}
	if slices.EqualFunc(h.encoded, encoded, bytes.Equal) {
		return
	}
	h.encoded = encoded
	for _, data := range encoded {
		e := &lanepb.Evidence{}
		if err := proto.Unmarshal(data, e); err != nil {
			k.options.Logger.Warn().Str("peer", id).Err(err).Msg("another entry's evidence can't be read")
			return
		}
		key := health.KeyOf(e)
		if news, ok := health.Since(h.sum[key], e); ok {
			c.evidence.Add(news)
			h.sum[key] = e
		}
	}
}

// tell renews what this entry tells of its own evidence.
func (k *Keeper) tell(c *course) {
	news := c.evidence.Take()
	if len(news) == 0 {
		return
	}
	c.told.sum = health.Merge(append(c.told.sum, news...)...)
	encoded := make([][]byte, 0, len(c.told.sum))
	for _, e := range c.told.sum {
		short := proto.CloneOf(e)
		health.Trim(short)
		data, err := proto.Marshal(short)
		if err != nil {
			k.options.Logger.Error().Err(err).Msg("evidence can't be encoded; the others are not told of it")
			return
		}
		encoded = append(encoded, data)
	}
	c.told.encoded = encoded
}
