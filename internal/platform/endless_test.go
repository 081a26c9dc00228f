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
