package rollout_test

import (
	"context"
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// storeError says that a fake store does not answer.
type storeError struct{ problem string }

func (e *storeError) Error() string { return e.problem }

// fakeLog keeps records in memory. Down, it refuses; losing, it does what it is asked
// and answers with an error.
type fakeLog struct {
	mu           sync.Mutex
	records      []rollout.Record
	down, losing bool
	// refused names an entry that the store turns away.
	refused string
	calls   int
}

// logOf is the log as one entry reaches it.
type logOf struct {
	*fakeLog
	id string
}

func (l logOf) Current(_ context.Context, service string) (rollout.Record, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refused {
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

func (l logOf) Append(_ context.Context, record rollout.Record, end uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refused {
		return &storeError{"down"}
	}
	if end != uint64(len(l.records)) {
		return &storeError{"conflict"}
	}
	l.records = append(l.records, record)
	if l.losing {
		return &storeError{"the answer is lost"}
	}
	return nil
}

func (l *fakeLog) set(down, losing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.losing = down, losing
}

// refuse turns an entry away.
func (l *fakeLog) refuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused = id
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
