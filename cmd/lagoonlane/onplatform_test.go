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

// quietLog is a log that is closed with the process.
type quietLog struct{}

func (quietLog) Close() error { return nil }

// A role whose background work had failed served on without it until it was stopped: with
// the configuration and the backend servers of that moment.
func TestRoleEndsWhenItsBackgroundWorkFails(t *testing.T) {
	c := qt.New(t)
	life, err := newLifecycleLog(zerolog.Nop(), noop.Meter{}, platform.Settings{})
	c.Assert(err, qt.IsNil)
	n := &node{logger: zerolog.Nop(), logs: quietLog{}, lifecycleLog: life}
	n.settings.Bounds.ShutdownGrace = time.Second
	background, stop := context.WithCancel(t.Context())
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	failure := &ListenError{Address: "127.0.0.1:1", Cause: context.DeadlineExceeded}
	left := false
	ended := make(chan error, 1)
	go func() {
		ended <- n.run(t.Context(), group, groupCtx, stop, []runFunc{
			func(context.Context) error { return failure },
			func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		}, func(context.Context) { left = true })
	}()
	select {
	case err := <-ended:
		c.Assert(err, qt.ErrorIs, failure)
		c.Assert(left, qt.IsTrue)
	case <-time.After(5 * time.Second):
		c.Fatal("the role serves on without its background work")
	}
}
