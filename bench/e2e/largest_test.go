package e2e

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/crowd"
	"github.com/lagoonlane/lagoonlane/bench/standin/service"
)

// The limits of our own interface (docs/API.md).
const (
	ownHeadBytes   = 32 << 10
	ownBodyBytes   = 8 << 20
	ownIdleTimeout = 90 * time.Second
	// ownChannels is a fifth of the connections of callers that a process without limits of its machine takes.
	ownChannels = 500
)

// Guards against limits that clients within those of our own interface meet.
func TestLargestClientAtTheOwnFrontDoor(t *testing.T) {
	t.Parallel()
	s := newSiteWithLatency(t, time.Millisecond)
	var next atomic.Int64
	client := crowd.Largest{
		HeadBytes: ownHeadBytes, BodyBytes: ownBodyBytes, IdleTimeout: ownIdleTimeout, Channels: ownChannels, Requests: 300,
		NewRequest: func(body io.Reader) (*http.Request, error) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.EntryURLs()[0]+"/services/ledger/loans", body)
			if err != nil {
				return nil, err
			}
			request.Header.Set("Authorization", "Bearer "+s.client.Key)
			request.Header.Set(service.HeaderOperation, fmt.Sprint("largest-", next.Add(1)))
			return request, nil
		},
	}
	for _, play := range client.Plays() {
		t.Run(play.Name, func(t *testing.T) { qt.New(t).Assert(play.Run(), qt.IsNil) })
	}
}
