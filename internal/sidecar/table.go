package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// phase is the state of a dispatch. It only increases, and phaseFinished and phaseBarred are
// final. A started dispatch becomes barred only if no byte of its request could be sent.
type phase int

const (
	phaseWaiting phase = iota
	phaseGranted
	// phaseStarted: the request has been or is about to be sent to the backend server.
	phaseStarted
	phaseFinished
	// phaseBarred: the request has not been sent to the backend server and will not be.
	phaseBarred
)

// dispatch is one attempt to run a request. The table's mu guards phase, grantExpires,
// answer, cancel and endedAt; the other fields are immutable once the dispatch is in the
// table. When a dispatch ends, the table replaces it by the result of compact.
type dispatch struct {
	id         string
	idempotent bool
	server     *server
	request    *lanepb.ReserveRequest
	// deadline is the deadline of the caller's request.
	deadline time.Time
	// ticket is the place in the queue. It is nil once compacted or if the id was barred
	// before a Reserve call.
	ticket *admission.Ticket
	// capped is true if the request took credit from the shareCap of its backend server.
	capped bool

	phase        phase
	grantExpires time.Time
	// answer is nil before the start and once the answer has been dropped.
	answer *answer
	// cancel stops a running dispatch.
	cancel context.CancelCauseFunc
	// startedOrBarred is closed when the dispatch is started or barred.
	startedOrBarred chan struct{}
	// endedAt is when the dispatch was finished or barred.
	endedAt time.Time
}

// compact returns a copy with only the fields that are used after the dispatch has ended.
func (d *dispatch) compact() *dispatch {
	return &dispatch{id: d.id, idempotent: d.idempotent, phase: d.phase, answer: d.answer, endedAt: d.endedAt}
}

// table holds the dispatches of this incarnation by id. Its methods are the only transitions
// between phases.
type table struct {
	mu   sync.Mutex
	byID map[string]*dispatch
	retention
}

func newTable() *table {
	return &table{byID: map[string]*dispatch{}}
}

// add adds a waiting dispatch. It reports false if the id is in the table already.
func (t *table) add(d *dispatch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[d.id] != nil {
		return false
	}
	t.byID[d.id] = d
	return true
}

// get returns the dispatch with an id, or nil.
func (t *table) get(id string) *dispatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// markGranted marks a waiting dispatch as granted. It reports false if the dispatch was barred.
func (t *table) markGranted(d *dispatch, expires time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.phase != phaseWaiting {
		return false
	}
	d.phase = phaseGranted
	d.grantExpires = expires
	return true
}

// markStarted marks a granted dispatch as started. It reports false unless the dispatch is granted
// and its grant is still valid. After a successful start the request may have run.
func (t *table) markStarted(d *dispatch, now time.Time, cancel context.CancelCauseFunc, a *answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d.phase != phaseGranted || now.After(d.grantExpires) {
		return false
	}
	d.phase = phaseStarted
	d.cancel = cancel
	d.answer = a
	close(d.startedOrBarred)
	return true
}

// bar bars a dispatch that wasn't started. It reports whether the dispatch is now in
// phaseBarred.
func (t *table) bar(d *dispatch, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.barLocked(d, now)
}

// barLocked is bar for callers that hold mu.
func (t *table) barLocked(d *dispatch, now time.Time) bool {
	switch d.phase {
	case phaseWaiting, phaseGranted:
		d.phase = phaseBarred
		d.endedAt = now
		close(d.startedOrBarred)
		t.retainBarred(d)
	}
	return d.phase == phaseBarred
}

// markNotSent marks a started dispatch as barred, as no byte of its request was sent to the
// backend server.
func (t *table) markNotSent(d *dispatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.phase = phaseBarred
	d.answer = nil
	d.endedAt = now
	t.retainBarred(d)
}

// markFinished marks a started dispatch as finished. Its answer is retained for readers that
// reconnect.
func (t *table) markFinished(d *dispatch, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d.phase = phaseFinished
	d.endedAt = now
	d.cancel = nil
	t.retainFinished(d)
}

// revoke bars a dispatch id unless its dispatch was started. An id that hasn't been seen yet
// is barred too. It returns the state and the dispatch, which is nil for an unknown id.
func (t *table) revoke(id string, now time.Time) (lanepb.DispatchState, *dispatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.byID[id]
	if d == nil && t.mayHaveForgottenLocked(now) {
		return lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN, nil
	}
	if d == nil {
		t.retainBarred(&dispatch{id: id, idempotent: true, phase: phaseBarred, endedAt: now})
		return lanepb.DispatchState_DISPATCH_STATE_BARRED, nil
	}
	t.barLocked(d, now)
	return t.state(d), d
}

// enquire returns the state of a dispatch id without changing it.
func (t *table) enquire(id string, now time.Time) lanepb.DispatchState {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.byID[id]
	switch {
	case d != nil:
		return t.state(d)
	case t.mayHaveForgottenLocked(now):
		return lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN
	}
	return lanepb.DispatchState_DISPATCH_STATE_NOT_SEEN
}

// state converts a dispatch's phase. The caller holds mu.
func (t *table) state(d *dispatch) lanepb.DispatchState {
	switch d.phase {
	case phaseWaiting, phaseGranted:
		return lanepb.DispatchState_DISPATCH_STATE_WAITING
	case phaseStarted:
		return lanepb.DispatchState_DISPATCH_STATE_RUNNING
	case phaseBarred:
		return lanepb.DispatchState_DISPATCH_STATE_BARRED
	}
	if d.answer == nil {
		return lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN
	}
	return lanepb.DispatchState_DISPATCH_STATE_FINISHED
}

// view is a snapshot of the mutable state of a dispatch.
type view struct {
	phase  phase
	answer *answer
	cancel context.CancelCauseFunc
}

// view returns a snapshot of a dispatch.
func (t *table) view(d *dispatch) view {
	t.mu.Lock()
	defer t.mu.Unlock()
	return view{phase: d.phase, answer: d.answer, cancel: d.cancel}
}

// mayHaveForgotten reports whether an unknown id may be one that was dropped early.
func (t *table) mayHaveForgotten(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayHaveForgottenLocked(now)
}
