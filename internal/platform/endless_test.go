package platform

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/bounded/boundedtest"
)

// Guards against endless responses: the call must fail by itself after reading a limited number
// of bytes.
func TestEndlessAnswerIsNone(t *testing.T) {
	for name, answer := range boundedtest.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := boundedtest.Serve(t, answer[0], answer[1])
			client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes}}
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			base := "http://" + server.Address
			// All JSON responses are decoded by the same function, so one client is enough.
			_, err := NewHTTPLog(base, client).Read(ctx, "s", 0, 10, 0)
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(ctx.Err(), qt.IsNil)
			c.Assert(server.Sent.Load() < 64<<20+boundedtest.SocketBufferBytes, qt.IsTrue)
		})
	}
}

// Guards against an engine whose report on itself has no end and fills the memory of the process that asks: a report was
// read up to 64 MiB, which the decoder holds at once.
func TestEndlessReportOfAnEngineIsNone(t *testing.T) {
	calls := map[string]func(ctx context.Context, engine *HTTPEngine) error{
		"load":   func(ctx context.Context, engine *HTTPEngine) error { _, err := engine.Load(ctx); return err },
		"order":  func(ctx context.Context, engine *HTTPEngine) error { _, err := engine.Order(ctx, Order{}); return err },
		"cancel": func(ctx context.Context, engine *HTTPEngine) error { return engine.Cancel(ctx, "id") },
		"resume": func(ctx context.Context, engine *HTTPEngine) error { _, err := engine.Resume(ctx, "id", 1); return err },
	}
	for part, answer := range boundedtest.EndlessResponses() {
		for name, call := range calls {
			t.Run(name+", "+part, func(t *testing.T) {
				c := qt.New(t)
				server := &boundedtest.PipeServer{Begin: answer[0], Repeat: answer[1]}
				client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes, DialContext: server.Dial}}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := call(ctx, NewHTTPEngine("http://engine", client))
				c.Assert(err != nil || name == "cancel", qt.IsTrue)
				c.Assert(ctx.Err(), qt.IsNil)
				// The server writes blocks of 64 KiB.
				c.Assert(server.Sent.Load() <= maxReportBytes+2*bounded.MaxHeaderBytes, qt.IsTrue, qt.Commentf("%d bytes", server.Sent.Load()))
			})
		}
	}
}
