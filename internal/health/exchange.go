package health

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Add adds evidence from another process to the current slots. Take does not return it.
func (c *Collector) Add(evidence ...*lanepb.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range evidence {
		h := c.historyOf(KeyOf(e))
		h.fine.getOrReset(c.slotNumber(c.options.Slot)).addEvidence(e)
		h.coarse.getOrReset(c.slotNumber(c.coarseSlot())).addEvidence(e)
	}
}

// Take returns the observations of this process since the last Take. They remain in the windows.
func (c *Collector) Take() []*lanepb.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := make([]*lanepb.Evidence, 0, len(c.pending))
	for key, s := range c.pending {
		e := newEvidence(key)
		s.addTo(e)
		pending = append(pending, e)
	}
	clear(c.pending)
	sortEvidence(pending)
	return pending
}

// addPending adds an observation to the result of the next Take.
func (c *Collector) addPending(key Key, o Observation) {
	s, ok := c.pending[key]
	if !ok {
		if len(c.pending) >= c.options.MaxKeys {
			return
		}
		s = &slot{}
		c.pending[key] = s
	}
	s.add(o)
}

func (s *slot) addEvidence(e *lanepb.Evidence) {
	s.requests += e.GetRequests()
	s.errors += e.GetErrors()
	s.badAnswers += e.GetBadAnswers()
	addHistogram(s.firstToken[:], e.GetFirstToken())
	addHistogram(s.interToken[:], e.GetInterToken())
}

func (s *slot) addTo(total *lanepb.Evidence) {
	total.Requests += s.requests
	total.Errors += s.errors
	total.BadAnswers += s.badAnswers
	addHistogram(total.FirstToken, s.firstToken[:])
	addHistogram(total.InterToken, s.interToken[:])
}
