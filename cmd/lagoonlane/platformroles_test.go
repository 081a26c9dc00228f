package main

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/platform"
)

// noopCloser stands in for the log output, which the process closes.
type noopCloser struct{}

func (noopCloser) Close() error { return nil }

// Guards against a role that keeps serving with outdated configuration and backend servers after
// its background work has failed.
func TestRoleEndsWhenItsBackgroundWorkFails(t *testing.T) {
	c := qt.New(t)
	processLog, err := newLifecycleLog(zerolog.Nop(), noop.Meter{}, platform.Settings{})
	c.Assert(err, qt.IsNil)
	n := &node{logger: zerolog.Nop(), logs: noopCloser{}, lifecycleLog: processLog}
	n.settings.Bounds.ShutdownGrace = time.Second
	background, stop := context.WithCancel(t.Context())
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	failure := &ListenError{Address: "127.0.0.1:1", Cause: context.DeadlineExceeded}
	drained := false
	ended := make(chan error, 1)
	go func() {
		ended <- n.run(t.Context(), group, groupCtx, stop, []runFunc{
			func(context.Context) error { return failure },
			func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		}, func(context.Context) { drained = true })
	}()
	select {
	case err := <-ended:
		c.Assert(err, qt.ErrorIs, failure)
		c.Assert(drained, qt.IsTrue)
	case <-time.After(5 * time.Second):
		c.Fatal("the role keeps serving after its background work has failed")
	}
}
