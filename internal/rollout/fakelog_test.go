package rollout_test

import (
	"context"
	"slices"
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// storeError is an error of the fake store.
type storeError struct{ message string }

func (e *storeError) Error() string { return e.message }

// fakeLog keeps records in memory. If down is set, calls fail. If loseReplies is set, appends
// take effect but return an error.
type fakeLog struct {
	mu                sync.Mutex
	records           []rollout.Record
	down, loseReplies bool
	// refusedEntry is the ID of an entry whose calls fail.
	refusedEntry string
	calls        int
	// onCurrent, if set, is called before a call of Current is answered.
	onCurrent func(entry string)
	// era is that of the store.
	era uint64
}

// entryLog is the connection of one entry to the log.
type entryLog struct {
	*fakeLog
	id string
}

func (l entryLog) Current(_ context.Context, service string) (rollout.Record, rollout.Position, error) {
	l.mu.Lock()
	onCurrent := l.onCurrent
	l.mu.Unlock()
	if onCurrent != nil {
		onCurrent(l.id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refusedEntry {
		return rollout.Record{}, rollout.Position{}, &storeError{"down"}
	}
	var newest rollout.Record
	for _, r := range l.records {
		if r.Service == service {
			newest = r
		}
	}
	return newest, rollout.Position{Offset: uint64(len(l.records)), Era: l.era}, nil
}

func (l entryLog) Append(_ context.Context, record rollout.Record, end rollout.Position) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down || l.id == l.refusedEntry {
		return &storeError{"down"}
	}
	if end.Offset != uint64(len(l.records)) {
		return &storeError{"conflict"}
	}
	l.records = append(l.records, record)
	if l.loseReplies {
		return &storeError{"reply lost"}
	}
	return nil
}

func (l *fakeLog) setFaults(down, loseReplies bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseReplies = down, loseReplies
}

func (l *fakeLog) currentEra() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era
}

// refuse lets all calls of an entry fail.
func (l *fakeLog) refuse(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedEntry = id
}

// observeCurrent lets a function be called before each call of Current is answered.
func (l *fakeLog) observeCurrent(f func(entry string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onCurrent = f
}

// states returns the states that were recorded for an order, oldest first.
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

// rewind plays a return of the store from an older copy, which lacks the records that keep rejects.
func (l *fakeLog) rewind(keep func(rollout.Record) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	l.records = slices.DeleteFunc(l.records, func(r rollout.Record) bool { return !keep(r) })
}
