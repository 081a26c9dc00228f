package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/platform/platformtest"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// entry is one process that appends claims.
type entry struct {
	*claim.Claims
	conn    *platformtest.Conn
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func startEntry(log *platformtest.Log, author string) *entry {
	e := &entry{conn: log.Conn()}
	e.Claims = claim.New(claim.Options{Log: e.conn, Author: author, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { _ = e.Run(ctx) })
	return e
}

func (e *entry) stop() {
	e.cancel()
	e.running.Wait()
	e.conn.WaitForDelayedAppends()
}

func newClaim(key, dispatch, previous string) *configpb.Claim {
	return &configpb.Claim{KeyHash: []byte(key), Fingerprint: []byte("body of " + key), DispatchId: dispatch, Previous: previous}
}

func TestFirstClaimInOffsetOrderWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a, b := startEntry(log, "a"), startEntry(log, "b")
		defer a.stop()
		defer b.stop()
		var results [2]claim.Result
		var calls sync.WaitGroup
		for i, e := range []*entry{a, b} {
			calls.Go(func() {
				var err error
				results[i], err = e.Claim(t.Context(), newClaim("loan", string(rune('x'+i)), ""))
				c.Check(err, qt.IsNil)
			})
		}
		calls.Wait()
		c.Assert(results[0].Won, qt.Not(qt.Equals), results[1].Won)
		holder := results[0].Holder.GetDispatchId()
		c.Assert(results[1].Holder.GetDispatchId(), qt.Equals, holder)

		again, err := b.Claim(t.Context(), newClaim("loan", "z", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Won, qt.IsFalse)
		again, err = b.Claim(t.Context(), newClaim("loan", "z", holder))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Won, qt.IsTrue)
		again, err = a.Claim(t.Context(), newClaim("loan", "w", holder))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Holder.GetDispatchId(), qt.Equals, "z")
	})
}

func TestKeyOfDifferentRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := startEntry(platformtest.NewLog(), "a")
		defer a.stop()
		_, err := a.Claim(t.Context(), newClaim("loan", "x", ""))
		c.Assert(err, qt.IsNil)
		other := newClaim("loan", "y", "")
		other.Fingerprint = []byte("another body")
		_, err = a.Claim(t.Context(), other)
		var mismatch *claim.FingerprintMismatchError
		c.Assert(errors.As(err, &mismatch), qt.IsTrue)
	})
}

func TestClaimReportsUnknownResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a := startEntry(log, "a")
		defer a.stop()
		a.conn.LoseAnswers(1)
		result, err := a.Claim(t.Context(), newClaim("loan", "x", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsTrue)

		a.conn.FailAppends(1)
		_, err = a.Claim(t.Context(), newClaim("other", "y", ""))
		var unknown *claim.ResultUnknownError
		c.Assert(errors.As(err, &unknown), qt.IsTrue)

		log.SetDown(true)
		_, err = a.Claim(t.Context(), newClaim("third", "z", ""))
		var down *claim.LogUnavailableError
		c.Assert(errors.As(err, &down), qt.IsTrue)
	})
}

func TestKeyIsFreeAfterTheWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := startEntry(platformtest.NewLog(), "a")
		defer a.stop()
		_, err := a.Claim(t.Context(), newClaim("loan", "x", ""))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Hour)
		result, err := a.Claim(t.Context(), newClaim("loan", "y", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsTrue)
	})
}

// Guards against a process that decides claims although it could not read older claims which
// may still hold their keys. It must refuse until the window has passed.
func TestUnknownHistoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a := startEntry(log, "a")
		defer a.stop()
		for _, key := range []string{"loan", "other"} {
			_, err := a.Claim(t.Context(), newClaim(key, key, ""))
			c.Assert(err, qt.IsNil)
			time.Sleep(time.Minute)
		}
		log.Truncate(platform.StreamClaims, 2)
		b := startEntry(log, "b")
		defer b.stop()
		time.Sleep(time.Second)
		_, err := b.Claim(t.Context(), newClaim("loan", "again", ""))
		var history *claim.IncompleteHistoryError
		c.Assert(errors.As(err, &history), qt.IsTrue)
		var down *claim.LogUnavailableError
		c.Assert(errors.As(err, &down), qt.IsTrue)
		time.Sleep(time.Hour)
		result, err := b.Claim(t.Context(), newClaim("loan", "later", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsTrue)
	})
}

// Guards against a process that decides a claim before it has read all earlier claims.
func TestNewProcessReadsStreamBeforeDeciding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a := startEntry(log, "a")
		defer a.stop()
		for i := range 1000 {
			_, err := a.Claim(t.Context(), newClaim(fmt.Sprint("key-", i), fmt.Sprint("d-", i), ""))
			c.Assert(err, qt.IsNil)
		}
		b := startEntry(log, "b")
		defer b.stop()
		result, err := b.Claim(t.Context(), newClaim("key-999", "late", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsFalse)
		c.Assert(result.Holder.GetDispatchId(), qt.Equals, "d-999")
	})
}

// Guards against readers that decide differently about a key at the end of its window, when one
// reads immediately and another one later.
func TestEndOfWindowIsDecidedAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a, b := startEntry(log, "a"), startEntry(log, "b")
		defer a.stop()
		defer b.stop()
		first, err := a.Claim(t.Context(), newClaim("loan", "first", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(first.Won, qt.IsTrue)
		b.conn.SetReadsFail(true)
		time.Sleep(time.Hour - time.Second)
		second := newClaim("loan", "second", "")
		second.ClaimedUnixMs = time.Now().UnixMilli()
		third := newClaim("loan", "third", "")
		third.ClaimedUnixMs = time.Now().Add(2 * time.Second).UnixMilli()
		data, err := proto.Marshal(&configpb.ClaimBatch{Claims: []*configpb.Claim{second, third}})
		c.Assert(err, qt.IsNil)
		_, err = a.conn.Append(t.Context(), platform.StreamClaims, data)
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Second)
		b.conn.SetReadsFail(false)
		time.Sleep(10 * time.Second)
		for _, e := range []*entry{a, b} {
			holder, held := e.Lookup([]byte("loan"))
			c.Assert(held, qt.IsTrue)
			c.Assert(holder.GetDispatchId(), qt.Equals, "third")
		}
	})
}

func TestClaimSucceedsOnSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := platformtest.NewLog()
		a, b := startEntry(log, "a"), startEntry(log, "b")
		defer a.stop()
		defer b.stop()
		for _, e := range []*entry{a, b} {
			e.conn.SetDelay(3 * time.Second)
		}
		time.Sleep(20 * time.Second)
		result, err := a.Claim(t.Context(), newClaim("loan", "x", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsTrue)
		result, err = b.Claim(t.Context(), newClaim("loan", "y", ""))
		c.Assert(err, qt.IsNil)
		c.Assert(result.Won, qt.IsFalse)
	})
}

// appendAs appends a claim of another process whose clock is ahead.
func appendAs(t *testing.T, e *entry, author, key string, ahead time.Duration) {
	foreign := newClaim(key, key, "")
	foreign.ClaimedUnixMs = time.Now().Add(ahead).UnixMilli()
	data, err := proto.Marshal(&configpb.ClaimBatch{Author: author, Claims: []*configpb.Claim{foreign}})
	qt.Assert(t, err, qt.IsNil)
	_, err = e.conn.Append(t.Context(), platform.StreamClaims, data)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(time.Second)
}

// Guards against claims from a process whose clock agrees with that of no other process. Such a
// claim could free a key before its window has passed.
func TestWrongClockIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := startEntry(platformtest.NewLog(), "a")
		defer a.stop()
		time.Sleep(10 * time.Second)
		for i, ahead := range []time.Duration{-20 * time.Minute, 20 * time.Minute} {
			appendAs(t, a, "b", fmt.Sprint("b", i), ahead)
			_, err := a.Claim(t.Context(), newClaim(fmt.Sprint("a", i), "x", ""))
			var clock *claim.ClockSkewError
			c.Assert(errors.As(err, &clock), qt.IsTrue)
			c.Assert(clock.Ahead.Round(time.Minute), qt.Equals, ahead)
		}
		appendAs(t, a, "c", "c", 10*time.Second)
		_, err := a.Claim(t.Context(), newClaim("a2", "x", ""))
		c.Assert(err, qt.IsNil)
		appendAs(t, a, "b", "b2", time.Hour)
		time.Sleep(2 * time.Minute)
		_, err = a.Claim(t.Context(), newClaim("a3", "y", ""))
		c.Assert(err, qt.IsNil)
	})
}
