package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

// Under a lasting overload, a request below the highest tier is refused after a few sidecars have
// refused it, without waiting, while one of the highest tier asks more of them.
func TestOverloadIsToldAtOnce(t *testing.T) {
	for host, wanted := range map[string]int{"low": 4, "a": 8} {
		t.Run(host, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEngineEntry(t, 10, respondWithPause(0, 0))
				for _, e := range w.engines {
					defer e.occupySlot(w.c)()
					// Without accounts, routes of ranks 0 and 1 are admitted with ranks 0 and 5.
					for _, rank := range []uint32{0, 5} {
						e.queue.Submit(time.Now(), admission.Request{
							ID: fmt.Sprint("waits ", rank), Rank: rank, Objective: time.Now().Add(longPause), Deadline: time.Now().Add(longPause),
						})
					}
				}
				time.Sleep(time.Second)
				began := time.Now()
				response, _ := w.callHost(context.Background(), host)
				w.c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
				w.c.Assert(time.Since(began) < 50*time.Millisecond, qt.IsTrue)
				asked := 0
				for _, e := range w.engines {
					asked += len(e.log.withMessage("slot"))
				}
				w.c.Assert(asked, qt.Equals, wanted)
			})
		})
	}
}
