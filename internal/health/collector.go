// Package health collects evidence about backend server versions and judges a new version against
// the old one. It never changes a share and sends nothing; callers act on its verdicts.
package health

import (
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Observation is what one process recorded about one request to a backend server version, or
// about the first part of its answer.
type Observation struct {
	Pool, Version, Route string
	// Failed is true if the backend server answered with an error or not at all. Rejections
	// before the dispatch and cancelled requests are not observed.
	Failed bool
	// BadAnswer is true if the answer was truncated or failed its checks.
	BadAnswer bool
	// FirstToken is the time from the dispatch to the first part of the answer; 0: no part
	// arrived.
	FirstToken time.Duration
	// InterToken is the mean time between two parts of the answer; 0: unknown.
	InterToken time.Duration
	// Partial is true if another observation, earlier or later, counts the request. A partial
	// observation adds its failures and times but no request. Each time is observed only once.
	Partial bool
}

// Key identifies the subject of evidence.
type Key struct{ Pool, Version, Route string }

// CollectorOptions configures a Collector. Zero values take the defaults.
type CollectorOptions struct {
	// Slot is the length of a fine time slot. Default: 1 s.
	Slot time.Duration
	// Slots is the number of fine slots kept, and also of coarse slots, each of which spans
	// CoarseRatio fine slots. Default: 60.
	Slots int
	// MaxKeys bounds the number of keys. The least recently used key is evicted. Default: 1,024.
	MaxKeys int
}

// Defaults of CollectorOptions.
const (
	DefaultSlot    = time.Second
	DefaultSlots   = 60
	DefaultMaxKeys = 1024
	// CoarseRatio is the length of a coarse slot in fine slots. Windows longer than the fine
	// slots cover are computed from coarse slots.
	CoarseRatio = 30
	// alarmBuffer is the number of unread alarms that are kept.
	alarmBuffer = 16
)

// Collector aggregates observations by version, route and time slot. It is safe for concurrent
// use.
type Collector struct {
	options CollectorOptions

	mu        sync.Mutex
	start     time.Time
	histories map[Key]*history
	// pending holds the observations since the last Take.
	pending map[Key]*slot
	// alarms receives the key of each failure or bad answer.
	alarms chan Key
}

// NewCollector returns an empty Collector.
func NewCollector(options CollectorOptions) *Collector {
	if options.Slot <= 0 {
		options.Slot = DefaultSlot
	}
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.MaxKeys <= 0 {
		options.MaxKeys = DefaultMaxKeys
	}
	return &Collector{options: options, start: time.Now(), histories: map[Key]*history{}, pending: map[Key]*slot{}, alarms: make(chan Key, alarmBuffer)}
}

// Observe adds an observation to the current slots.
func (c *Collector) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := Key{Pool: o.Pool, Version: o.Version, Route: o.Route}
	h := c.historyOf(key)
	h.fine.getOrReset(c.slotNumber(c.options.Slot)).add(o)
	h.coarse.getOrReset(c.slotNumber(c.coarseSlot())).add(o)
	c.addPending(key, o)
	if o.Failed || o.BadAnswer {
		c.raiseAlarm(key)
	}
}

// Alarms returns a channel of the keys of new failures and bad answers. Alarms are dropped while
// its buffer is full.
func (c *Collector) Alarms() <-chan Key { return c.alarms }

// raiseAlarm sends the key to the alarm channel unless its buffer is full.
func (c *Collector) raiseAlarm(key Key) {
	select {
	case c.alarms <- key:
	default:
	}
}

// Keys returns the keys with evidence, in no particular order.
func (c *Collector) Keys() []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := make([]Key, 0, len(c.histories))
	for key := range c.histories {
		keys = append(keys, key)
	}
	return keys
}

// Window returns the evidence of a key over the last window, rounded up to whole slots and
// limited to the slots kept.
func (c *Collector) Window(key Key, window time.Duration) *lanepb.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum(key, window)
}

// Slices returns the evidence of a key over the last window in slices of equal length, oldest
// first. The window is limited to the fine slots.
func (c *Collector) Slices(key Key, window time.Duration, parts int) []*lanepb.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := int64((window + c.options.Slot - 1) / c.options.Slot)
	slots = min(max(slots, 1), int64(c.options.Slots))
	slotsPerPart := max((slots+int64(parts)-1)/int64(parts), 1)
	current := c.slotNumber(c.options.Slot)
	h := c.histories[key]
	var evidence []*lanepb.Evidence
	for from := current - slots + 1; from <= current; from += slotsPerPart {
		part := newEvidence(key)
		for number := max(from, 0); h != nil && number < min(from+slotsPerPart, current+1); number++ {
			if s := h.fine.get(number); s != nil {
				s.addTo(part)
			}
		}
		evidence = append(evidence, part)
	}
	return evidence
}

// minRateRequests is the number of requests that suffice to estimate a rate over a short time.
const minRateRequests = 30

// Rate returns the requests per second of a key over the last window, or over the age of the
// Collector if that is shorter. known is true once the Collector is as old as the window or the
// key has had minRateRequests requests in it.
func (c *Collector) Rate(key Key, window time.Duration) (perSecond float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := time.Since(c.start)
	requests := c.requests(key, window)
	perSecond = float64(requests) / max(min(window, age), c.options.Slot).Seconds()
	return perSecond, age >= window || requests >= minRateRequests
}

// Requests returns the number of requests of a key within the last window.
func (c *Collector) Requests(key Key, window time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests(key, window)
}

func (c *Collector) requests(key Key, window time.Duration) uint64 {
	count := uint64(0)
	c.eachSlot(key, window, func(s *slot) { count += s.requests })
	return count
}

func (c *Collector) coarseSlot() time.Duration { return CoarseRatio * c.options.Slot }

// slotNumber returns the number of the current slot of the given length.
func (c *Collector) slotNumber(slot time.Duration) int64 {
	return int64(time.Since(c.start) / slot)
}

func (c *Collector) sum(key Key, window time.Duration) *lanepb.Evidence {
	total := newEvidence(key)
	c.eachSlot(key, window, func(s *slot) { s.addTo(total) })
	return total
}

// eachSlot calls visit for each slot of a key within the last window.
func (c *Collector) eachSlot(key Key, window time.Duration, visit func(*slot)) {
	h, ok := c.histories[key]
	if !ok {
		return
	}
	slot, r := c.options.Slot, h.fine
	if window > slot*time.Duration(c.options.Slots) {
		slot, r = c.coarseSlot(), h.coarse
	}
	count := int64((window + slot - 1) / slot)
	count = min(max(count, 1), int64(c.options.Slots))
	current := c.slotNumber(slot)
	for number := max(current-count+1, 0); number <= current; number++ {
		if s := r.get(number); s != nil {
			visit(s)
		}
	}
}

// historyOf returns the history of a key, and creates it if needed.
func (c *Collector) historyOf(key Key) *history {
	h, ok := c.histories[key]
	if !ok {
		c.evictLeastRecentlyUsed()
		h = &history{fine: make(ring, c.options.Slots), coarse: make(ring, c.options.Slots)}
		c.histories[key] = h
	}
	h.lastUsed = time.Now()
	return h
}

func (c *Collector) evictLeastRecentlyUsed() {
	if len(c.histories) < c.options.MaxKeys {
		return
	}
	var oldest Key
	var lastUsed time.Time
	for key, h := range c.histories {
		if lastUsed.IsZero() || h.lastUsed.Before(lastUsed) {
			oldest, lastUsed = key, h.lastUsed
		}
	}
	delete(c.histories, oldest)
}

// history holds the evidence of one key.
type history struct {
	fine, coarse ring
	lastUsed     time.Time
}

// ring stores slots by their number modulo its length.
type ring []*slot

// getOrReset returns the slot of a number. A slot of an older number is replaced by an empty one.
func (r ring) getOrReset(number int64) *slot {
	i := number % int64(len(r))
	if r[i] == nil || r[i].number != number {
		r[i] = &slot{number: number}
	}
	return r[i]
}

// get returns the slot of a number, or nil if the ring doesn't hold it.
func (r ring) get(number int64) *slot {
	s := r[number%int64(len(r))]
	if s == nil || s.number != number {
		return nil
	}
	return s
}

// slot aggregates the observations of one time slot.
type slot struct {
	number     int64
	requests   uint64
	errors     uint64
	badAnswers uint64
	firstToken [Buckets]uint32
	interToken [Buckets]uint32
}

func (s *slot) add(o Observation) {
	if !o.Partial {
		s.requests++
	}
	if o.Failed {
		s.errors++
	}
	if o.BadAnswer {
		s.badAnswers++
	}
	if o.FirstToken > 0 {
		s.firstToken[bucketOf(o.FirstToken)]++
	}
	if o.InterToken > 0 {
		s.interToken[bucketOf(o.InterToken)]++
	}
}
