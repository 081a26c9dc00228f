package rollout

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// ageTolerance is how much older an order must be according to another entry before that age is
// adopted. It exceeds the duration of an exchange, since each exchange makes the order appear
// older.
const ageTolerance = 500 * time.Millisecond

// Report is the state of one order that an entry sends to the other entries.
type Report struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	Order      uint64 `json:"order"`
	DurationMS int64  `json:"duration_ms"`
	// AgeMS is a lower bound on the age of the order, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	State State `json:"state"`
	// Stopped is the reason for which the target gets no more requests. If empty, it may get
	// some.
	Stopped string `json:"stopped,omitempty"`
	// Moving is set when the target is proven and requests move to it.
	Moving bool `json:"moving,omitempty"`
	// Unchanged is set if the service ran the target already when it was ordered.
	Unchanged bool `json:"unchanged,omitempty"`
	// Evidence holds what the entry itself has observed since it learned of the order, as
	// encoded lanepb.Evidence messages. It only grows.
	Evidence [][]byte `json:"evidence,omitempty"`
}

// reportedEvidence is the evidence collected by this entry that it reports to the others.
type reportedEvidence struct {
	sum     []*lanepb.Evidence
	encoded [][]byte
}

// peerEvidence is the latest evidence received from another entry.
type peerEvidence struct {
	boot string
	// encoded is the evidence as received, sum its decoded form.
	encoded [][]byte
	sum     map[health.Key]*lanepb.Evidence
}

// Reports returns the reports on all orders for the other entries.
func (c *Controller) Reports() []Report {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Report
	for _, v := range c.services {
		p := v.progress
		if p == nil {
			continue
		}
		r := Report{
			Service: p.order.Service, Target: p.order.Target, Order: p.order.ID, DurationMS: p.order.Duration.Milliseconds(),
			AgeMS: now.Sub(p.started).Milliseconds(), State: p.state, Stopped: p.stopReason, Moving: p.moving, Unchanged: p.noChange,
		}
		if p.open() {
			r.Evidence = p.reported.encoded
		}
		all = append(all, r)
	}
	return all
}

// HandleReports processes the reports that another entry sent at a given time.
func (c *Controller) HandleReports(id, boot string, reports []Report, sentAt time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		began := sentAt.Add(-time.Duration(r.AgeMS) * time.Millisecond)
		order := Order{Service: r.Service, Target: r.Target, Duration: time.Duration(r.DurationMS) * time.Millisecond, ID: r.Order}
		p := c.setOrder(order, began, now, "entry "+id)
		if p.order.ID != r.Order {
			continue
		}
		if p.started.Sub(began) > ageTolerance {
			p.started = began
		}
		p.stateKnown = true
		c.applyState(p, r.State, "entry "+id)
		if r.Unchanged && p.open() && !p.countedFromStart {
			c.keepRunning(c.services[r.Service], p, now)
		}
		if !p.open() {
			continue
		}
		if r.Stopped != "" {
			c.contain(p, r.Stopped, "entry "+id)
		}
		if r.Moving && p.stopReason == "" && !p.moving {
			c.startMove(p, "entry "+id)
		}
		c.mergeEvidence(p, id, boot, r.Evidence)
	}
}

// mergeEvidence adds the increase of another entry's evidence since its previous report.
func (c *Controller) mergeEvidence(p *orderProgress, id, boot string, encoded [][]byte) {
	peer := p.peers[id]
	if peer == nil || peer.boot != boot {
		peer = &peerEvidence{boot: boot, sum: map[health.Key]*lanepb.Evidence{}}
		p.peers[id] = peer
	}
	if slices.EqualFunc(peer.encoded, encoded, bytes.Equal) {
		return
	}
	peer.encoded = encoded
	for _, data := range encoded {
		e := &lanepb.Evidence{}
		if err := proto.Unmarshal(data, e); err != nil {
			c.options.Logger.Warn().Str("peer", id).Err(err).Msg("cannot decode evidence from another entry")
			return
		}
		key := health.KeyOf(e)
		if delta, ok := health.Delta(peer.sum[key], e); ok {
			p.evidence.Add(delta)
			peer.sum[key] = e
		}
	}
}

// updateReportedEvidence adds newly collected evidence to what this entry reports.
func (c *Controller) updateReportedEvidence(p *orderProgress) {
	delta := p.evidence.Take()
	if len(delta) == 0 {
		return
	}
	p.reported.sum = health.Merge(append(p.reported.sum, delta...)...)
	encoded := make([][]byte, 0, len(p.reported.sum))
	for _, e := range p.reported.sum {
		trimmed := proto.CloneOf(e)
		health.Trim(trimmed)
		data, err := proto.Marshal(trimmed)
		if err != nil {
			c.options.Logger.Error().Err(err).Msg("cannot encode evidence; not reported to other entries")
			return
		}
		encoded = append(encoded, data)
	}
	p.reported.encoded = encoded
}
