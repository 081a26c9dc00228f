package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/platform"
)

// outcomes returns the logged signals, each with its outcome.
func outcomes(c *qt.C, log *bytes.Buffer) []string {
	var all []string
	for decoder := json.NewDecoder(log); decoder.More(); {
		var line struct{ Signal, Outcome string }
		c.Assert(decoder.Decode(&line), qt.IsNil)
		all = append(all, line.Signal+" "+line.Outcome)
	}
	return all
}

func TestSignalsBeforeDuringAndAfterServing(t *testing.T) {
	const ignored = "ignored, the process is stopping"
	bad := &platform.SettingsError{Path: "settings.toml", Problem: "ip is missing"}
	for name, test := range map[string]struct {
		early, later []os.Signal
		reload       error
		stops        bool
		want         []string
	}{
		"reload before and while it serves": {
			early: []os.Signal{syscall.SIGHUP, syscall.SIGHUP}, later: []os.Signal{syscall.SIGHUP},
			want: []string{"SIGHUP settings read", "SIGHUP settings read"},
		},
		"reload of bad settings": {
			later: []os.Signal{syscall.SIGHUP}, reload: bad,
			want: []string{"SIGHUP settings kept"},
		},
		"stop before it serves": {
			early: []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}, later: []os.Signal{syscall.SIGHUP},
			stops: true, want: []string{"SIGHUP settings read", "SIGTERM stopping", "SIGHUP " + ignored},
		},
		"series after the stop": {
			later: []os.Signal{syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT},
			stops: true, want: []string{"SIGINT stopping", "SIGHUP " + ignored, "SIGTERM " + ignored, "SIGINT " + ignored},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			ctx, s := newSignalHandler()
			for _, sig := range test.early {
				s.handle(sig)
			}
			s.attach(zerolog.New(&log), func() error { return test.reload })
			for _, sig := range test.later {
				s.handle(sig)
			}
			c.Assert(outcomes(c, &log), qt.DeepEquals, test.want)
			c.Assert(ctx.Err() != nil, qt.Equals, test.stops)
			var cause *SignalError
			c.Assert(errors.As(context.Cause(ctx), &cause), qt.Equals, test.stops)
		})
	}
}
