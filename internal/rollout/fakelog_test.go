package rollout_test

import (
	"context"
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// storeError says that a fake store does not answer.
type storeError struct{ message string }

func (e *storeError) Error() string { return e.message }

// fakeLog keeps records in memory. Down, it refuses; losing, it does what it is asked
// and answers with an error.
type fakeLog struct {
	mu                sync.Mutex
	records           []rollout.Record
	down, loseReplies bool
	// refusedEntry names an entry that the store turns away.
	refusedEntry string
	calls        int
}

// entryLog is the log as one entry reaches it.
type entryLog struct {
	*fakeLog
	id string
}

func (l entryLog) Current(_ context.Context, service string) (rollout.Record, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refusedEntry {
		return rollout.Record{}, 0, &storeError{"down"}
	}
	var newest rollout.Record
	for _, r := range l.records {
		if r.Service == service {
			newest = r
		}
	}
	return newest, uint64(len(l.records)), nil
}

func (l entryLog) Append(_ context.Context, record rollout.Record, end uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refusedEntry {
		return &storeError{"down"}
	}
	if end != uint64(len(l.records)) {
		return &storeError{"conflict"}
	}
	l.records = append(l.records, record)
	if l.loseReplies {
		return &storeError{"the answer is lost"}
	}
	return nil
}

func (l *fakeLog) setFaults(down, loseReplies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseReplies = down, loseReplies
}

// refuse turns an entry away.
func (l *fakeLog) refuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedEntry = id
}

// states returns the states that were recorded for an order.
func (l *fakeLog) states(order uint64) []rollout.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []rollout.State
	for _, r := range l.records {
		if r.Order == order {
			list = append(list, r.State)
		}
	}
	return list
}
