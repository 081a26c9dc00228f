package main

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded/boundedtest"
)

// Guards against an unbounded response that fills the memory of the operator's machine: the
// command must fail instead.
func TestEndlessAnswerIsNoAnswer(t *testing.T) {
	for name, bytes := range boundedtest.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := boundedtest.Serve(t, bytes[0], bytes[1])
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, err := newClient("http://"+server.Address, "key").sendOnce(ctx, request{method: "GET", path: "routes"})
			var noResponse *NoAnswerError
			c.Assert(errors.As(err, &noResponse), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(ctx.Err(), qt.IsNil)
			c.Assert(server.Sent.Load() < 16<<20+boundedtest.SocketBufferBytes, qt.IsTrue)
		})
	}
}
