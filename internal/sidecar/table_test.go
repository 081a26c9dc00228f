package sidecar

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestDispatch(id string) *dispatch {
	return &dispatch{id: id, startedOrBarred: make(chan struct{})}
}

// TestExpiredGrantDoesNotStart checks that markStarted itself compares the expiry: a process
// that was paused may read a late dispatch message before the grant's expiry timer runs.
func TestExpiredGrantDoesNotStart(t *testing.T) {
	table := newTable()
	d := newTestDispatch("d")
	table.add(d)
	qt.Assert(t, table.markGranted(d, epoch.Add(grantLifetime)), qt.IsTrue)
	qt.Assert(t, table.markStarted(d, epoch.Add(grantLifetime+1), nil, nil), qt.IsFalse)
	qt.Assert(t, table.markStarted(d, epoch.Add(grantLifetime), nil, newAnswer(0, nil)), qt.IsTrue)
}

// TestDispatchStartsAtMostOnceAndNeverAfterBarred applies random operations to one dispatch id.
// The dispatch must start at most once, only under a valid grant, and never after it was reported
// as barred.
func TestDispatchStartsAtMostOnceAndNeverAfterBarred(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newTable(), epoch
		d := newTestDispatch("d")
		started, barred, expires := 0, false, epoch
		advance := func(d time.Duration) { now = now.Add(d) }
		t.Repeat(map[string]func(*rapid.T){
			"add":  func(*rapid.T) { table.add(d) },
			"wait": func(t *rapid.T) { advance(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))) },
			"grant": func(*rapid.T) {
				if table.get("d") == d && table.markGranted(d, now.Add(grantLifetime)) {
					expires = now.Add(grantLifetime)
				}
			},
			"start": func(t *rapid.T) {
				if !table.markStarted(d, now, nil, newAnswer(1, nil)) {
					return
				}
				started++
				if started > 1 || barred || now.After(expires) {
					t.Fatalf("started %d times, barred %v, at %v with a grant until %v", started, barred, now, expires)
				}
			},
			"finish": func(*rapid.T) {
				if table.view(d).phase == phaseStarted {
					table.markFinished(d, now)
				}
			},
			"revoke": func(t *rapid.T) {
				state, _ := table.revoke("d", now)
				barred = barred || state == lanepb.DispatchState_DISPATCH_STATE_BARRED
				if barred == (started > 0) {
					t.Fatalf("revoke returned %v, started %d times", state, started)
				}
			},
			"sweep": func(*rapid.T) { table.sweep(now) },
		})
	})
}

func TestUnknownIDIsForgottenAfterEarlyEviction(t *testing.T) {
	table := newTable()
	for n := range maxRetainedIDs + 1 {
		d := newTestDispatch(fmt.Sprint(n))
		table.add(d)
		table.markGranted(d, epoch.Add(grantLifetime))
		table.markStarted(d, epoch, nil, newAnswer(0, nil))
		table.markFinished(d, epoch)
	}
	qt.Assert(t, len(table.byID), qt.Equals, maxRetainedIDs)
	qt.Assert(t, table.enquire("0", epoch), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
	state, _ := table.revoke("0", epoch)
	qt.Assert(t, state, qt.Equals, lanepb.DispatchState_DISPATCH_STATE_FORGOTTEN)
	after := epoch.Add(idRetentionNonIdempotent + time.Second)
	table.sweep(after)
	qt.Assert(t, table.enquire("0", after), qt.Equals, lanepb.DispatchState_DISPATCH_STATE_NOT_SEEN)
	qt.Assert(t, len(table.byID), qt.Equals, 0)
}
