package gateway_test

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// Guards against a request for more tokens than any engine has memory for: it must be refused without a charge, so that
// the other requests of its client account are served.
func TestRequestLargerThanTheEnginesCostsItsAccountNothing(t *testing.T) {
	synctest.Test(t, checkLargeRequests)
}

func checkLargeRequests(t *testing.T) {
	const memory = 10_000
	m, err := fleet.NewManifest(1, []*fleet.Route{{
		Name: "model", Host: "a", PathPrefix: "/", Kind: fleet.KindStreaming, Timeout: 6 * time.Second,
		Objective: 500 * time.Millisecond, MaxServers: 1, Shares: []fleet.Share{{Service: "model", Weight: 1}},
	}}, []*fleet.Service{{Name: "model", Engine: &fleet.Engine{Slots: engineSlots, MemoryTokens: memory}}},
		[]fleet.AccountSpec{{Account: fleet.Account{Name: "account", TokensPerSecond: 100, TokenBurst: 100}, Keys: []string{"key"}}}, fleet.ClientLimits{})
	qt.Assert(t, err, qt.IsNil)
	holder := &fleet.Holder{}
	holder.Set(m)
	holder.MarkVerified(steady.Now())
	w := newEngineEntryWith(t, 1, func(request *http.Request, conn net.Conn) { respondUntilClosed(request, conn, threeEvents) },
		func(o *gateway.Options) { o.Manifest = holder }, nil)
	status := func(tokens int) int {
		request := httptest.NewRequest("POST", "http://a/x", strings.NewReader("p"))
		request.Header.Set("Id", fmt.Sprint("r", lastRequestNumber.Add(1)))
		request.Header.Set("Key", "key")
		request.Header.Set("Tokens", fmt.Sprint(tokens))
		response, _ := w.serve(request)
		return response.Code
	}
	for _, tokens := range []int{memory + 1, math.MaxInt32, math.MaxInt64} {
		w.c.Check(status(tokens), qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Check(status(10), qt.Equals, http.StatusOK)
	// The largest request that an engine has memory for.
	w.c.Check(status(memory), qt.Equals, http.StatusOK)
}
