// Package feed passes on what a few processes read from a topic of a shared store. In a large group only
// some processes read the store. The others receive the changes, and the time up to which the
// topic was read, from their peers, and read the store themselves only if that time is too long ago.
package feed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// minPause is the shortest time between two checks of whether the topic was read recently.
	minPause = 20 * time.Millisecond
	// maxAgeJitter is the relative variation of MaxAge between the processes, so that not all of them
	// read at the same time when the readers are lost.
	maxAgeJitter = 0.25
)

// Record is one record of a keyed topic.
type Record struct {
	Key string `json:"key"`
	// Value is empty if the key was deleted.
	Value  []byte `json:"value,omitempty"`
	Offset uint64 `json:"offset"`
}

// Listener receives the records of a topic. Its methods are not called concurrently.
type Listener interface {
	// Replace receives a snapshot: the newest record of every key.
	Replace(records []Record)
	// Apply receives further records in log order.
	Apply(records []Record)
	// CaughtUp reports that every record acknowledged before the given time (on the clock that counts
	// suspension) has been passed to Replace or Apply.
	CaughtUp(asOf time.Time)
	// ReadFailed reports that a read of the store failed.
	ReadFailed(err error)
}

// Rewinder is implemented by listeners that must know that the store came back from an older copy:
// the next snapshot may lack records that were acknowledged before, and hold ones that were superseded.
type Rewinder interface {
	// Rewound is called before the Replace with the first snapshot of an era. known is false if the process knew no
	// records of an earlier era, as at its start.
	Rewound(era uint64, known bool)
}

// State is how far a process knows a topic.
type State struct {
	// Era counts how often the store has come back from an older copy. Offsets of different eras can't be
	// compared.
	Era uint64 `json:"era,omitempty"`
	// End is the offset before which all records are known; 0 if the topic was never read.
	End uint64 `json:"end"`
	// Changed is the offset after the last record that is passed on. A peer whose End is at least
	// this, and at least Listed, lacks nothing.
	Changed uint64 `json:"changed"`
	// Listed is the end of the last listing. Which keys were removed before it is not known.
	Listed uint64 `json:"listed"`
	// Bytes is the size of the largest record that is passed on.
	Bytes int `json:"bytes"`
	// AgeMS is the time since the topic was last known to have no further records, in milliseconds;
	// -1 if it never was.
	AgeMS int64 `json:"age_ms"`
}

// Page holds the records of a topic from the offset From on.
type Page struct {
	State   State    `json:"state"`
	From    uint64   `json:"from"`
	Records []Record `json:"records"`
}

// Options configures a Feed. Topic and Listener are required.
type Options struct {
	Topic    string
	Listener Listener
	// IsReader reports whether this process reads the store regardless of its peers. If nil, it does.
	IsReader func() bool
	// MaxAge is the time since the topic was last read, here or by a peer, after which this process
	// reads it.
	MaxAge time.Duration
	// IsRenewal reports whether a record only renews the previous one of its key. Renewals are not
	// passed on to peers. If nil, no record is a renewal.
	IsRenewal func(previous, next Record) bool
}

// Feed holds the newest records of one topic. It is safe for concurrent use.
type Feed struct {
	options Options
	maxAge  time.Duration

	mu sync.Mutex
	// records holds the newest record of each key, with the offset of the last one that was not a
	// renewal.
	records map[string]Record
	// era is that of the offsets.
	era     uint64
	end     uint64
	changed uint64
	listed  uint64
	// verifiedAt is the time as of which all acknowledged records are known.
	verifiedAt time.Time
	// storeLost is set while reads of the store fail.
	storeLost bool
	// readRequested receives a value when the store is to be read although peers keep this process up to
	// date.
	readRequested chan struct{}
}

// New returns a Feed without records.
func New(options Options) *Feed {
	factor := 1 - maxAgeJitter*rand.Float64()
	return &Feed{
		options: options, maxAge: time.Duration(factor * float64(options.MaxAge)), records: map[string]Record{},
		readRequested: make(chan struct{}, 1),
	}
}

// Topic returns the name of the topic.
func (f *Feed) Topic() string { return f.options.Topic }

// WaitTurn waits while peers keep this process up to date. It returns the offset from which the store
// is to be read, and the era of that offset.
func (f *Feed) WaitTurn(ctx context.Context) (next, era uint64) {
	for requested := false; !requested && ctx.Err() == nil && f.options.IsReader != nil && !f.options.IsReader(); {
		f.mu.Lock()
		left := f.maxAge - steady.Since(f.verifiedAt)
		f.mu.Unlock()
		if left <= 0 {
			break
		}
		timer := time.NewTimer(max(left, minPause))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.readRequested:
			requested = true
		}
		timer.Stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end, f.era
}

// Era returns the era of the store of which the topic is known.
func (f *Feed) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// RequestRead makes this process read the store at once. It reports false, and has no effect, while reads of
// the store fail.
func (f *Feed) RequestRead() bool {
	if f.StoreLost() {
		return false
	}
	select {
	case f.readRequested <- struct{}{}:
	default:
	}
	return true
}

// StoreLost reports whether the last read of the store failed.
func (f *Feed) StoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// Replace takes a listing of the topic in an era of the store: the newest record of every key, up to the offset
// end. A listing of an earlier era than the known one has no effect.
func (f *Feed) Replace(records []Record, end, era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era >= f.era {
		f.replace(records, end, era)
	}
	f.dropReadRequest()
}

func (f *Feed) replace(records []Record, end, era uint64) {
	if era > f.era {
		f.rewind(era)
	}
	listed := map[string]bool{}
	for _, record := range records {
		listed[record.Key] = true
	}
	for key, known := range f.records {
		if !listed[key] && len(known.Value) > 0 {
			// The removal was not read. Peers that have not read it either receive it as the last
			// change before the end.
			f.store(Record{Key: key, Offset: max(end, 1) - 1})
		}
	}
	for _, record := range records {
		f.store(record)
	}
	f.end, f.listed = max(f.end, end), max(f.listed, end)
	f.options.Listener.Replace(records)
}

// rewind forgets what was derived from the offsets of the previous era. The listener keeps what it has in force
// until it gets a snapshot of the new one.
func (f *Feed) rewind(era uint64) {
	known := f.end > 0
	f.era, f.end, f.changed, f.listed = era, 0, 0, 0
	f.records = map[string]Record{}
	if rewinder, ok := f.options.Listener.(Rewinder); ok {
		rewinder.Rewound(era, known)
	}
}

// Apply takes the records that follow those known, up to the offset end. Records of another era than the known one
// have no effect.
func (f *Feed) Apply(records []Record, end, era uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era == f.era {
		f.apply(records)
		f.end = max(f.end, end)
	}
	f.dropReadRequest()
}

// dropReadRequest withdraws a request for a read that has just taken place.
func (f *Feed) dropReadRequest() {
	select {
	case <-f.readRequested:
	default:
	}
}

func (f *Feed) apply(records []Record) {
	for _, record := range records {
		f.store(record)
	}
	f.options.Listener.Apply(records)
}

// store keeps a record as the newest of its key. The caller holds f.mu.
func (f *Feed) store(record Record) {
	previous, known := f.records[record.Key]
	switch {
	case known && record.Offset < previous.Offset:
		return
	case known && record.Offset == previous.Offset:
		// Received before in an incomplete page.
		f.changed = max(f.changed, record.Offset+1)
		return
	case known && f.options.IsRenewal != nil && f.options.IsRenewal(previous, record):
		record.Offset = previous.Offset
	default:
		f.changed = max(f.changed, record.Offset+1)
	}
	f.records[record.Key] = record
}

// CaughtUp reports that a read of the store succeeded, and that every record acknowledged before a time has been
// passed to Replace or Apply.
func (f *Feed) CaughtUp(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = false
	f.verify(asOf)
}

func (f *Feed) verify(asOf time.Time) {
	if asOf.After(f.verifiedAt) {
		f.verifiedAt = asOf
		f.options.Listener.CaughtUp(asOf)
	}
}

// ReadFailed reports that a read of the store failed.
func (f *Feed) ReadFailed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = true
	f.options.Listener.ReadFailed(err)
}

// Age returns the time since the topic was last known to have no further records.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return steady.Since(f.verifiedAt)
}

// State returns how far this process knows the topic.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state()
}

func (f *Feed) state() State {
	state := State{Era: f.era, End: f.end, Changed: f.changed, Listed: f.listed, AgeMS: -1}
	for _, record := range f.records {
		state.Bytes = max(state.Bytes, len(record.Value))
	}
	if !f.verifiedAt.IsZero() {
		// Rounded up, so that the age is never too small.
		state.AgeMS = steady.Since(f.verifiedAt).Milliseconds() + 1
	}
	return state
}

// Since returns the records from an offset on that a peer lacks, oldest first.
func (f *Feed) Since(from uint64) Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page{State: f.state(), From: from}
	for _, record := range f.records {
		if record.Offset >= from {
			page.Records = append(page.Records, record)
		}
	}
	slices.SortFunc(page.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return page
}

// Lacks reports whether a peer in a state has records that this process lacks, and the offset from
// which to request them. A process that has never read the topic requests nothing: it lists the
// topic at the store.
func (f *Feed) Lacks(peer State) (from uint64, lacks bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer.Era > f.era {
		return 0, f.end > 0 && peer.End > 0
	}
	return f.end, f.end > 0 && peer.Era == f.era && peer.Changed > f.end
}

// ReceiveState takes over the state of a peer that was asked at a time. It has no effect if this
// process may lack records of the peer.
func (f *Feed) ReceiveState(peer State, askedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.end == 0 || peer.Era != f.era || peer.Changed > f.end || peer.Listed > f.end {
		return
	}
	f.end = max(f.end, peer.End)
	if peer.AgeMS >= 0 {
		// The peer answered after askedAt, so the resulting time is never too late.
		f.verify(askedAt.Add(-time.Duration(peer.AgeMS) * time.Millisecond))
	}
}

// ReceivePage takes over the records that a peer sent for Lacks. A page of a later era counts as a listing if it
// holds all records. If the peer has listed the topic since, removals may
// be missing from the page: the state of this process stays as it is, for its peers too.
func (f *Feed) ReceivePage(page Page, askedAt time.Time) {
	f.mu.Lock()
	if page.State.Era > f.era && page.From == 0 && f.end > 0 {
		f.replace(page.present(), page.State.End, page.State.Era)
	}
	if page.State.Era != f.era {
		f.mu.Unlock()
		return
	}
	var fresh []Record
	for _, record := range page.Records {
		if known, ok := f.records[record.Key]; !ok || record.Offset > known.Offset {
			fresh = append(fresh, record)
		}
	}
	if f.end > 0 {
		// The peer may hold records behind its last change that it got from such a page itself.
		changed := f.changed
		f.apply(fresh)
		f.changed = changed
		if page.State.Listed <= f.end {
			f.end, f.changed = max(f.end, page.State.Changed), max(changed, page.State.Changed)
		}
	}
	f.mu.Unlock()
	f.ReceiveState(page.State, askedAt)
}

// present returns the records of a page without those of removed keys.
func (p Page) present() []Record {
	var list []Record
	for _, record := range p.Records {
		if len(record.Value) > 0 {
			list = append(list, record)
		}
	}
	return list
}
