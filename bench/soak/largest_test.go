package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/crowd"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// The limits of the stand-in's manifest.
const (
	manifestHeadBytes   = 16384
	manifestBodyBytes   = 1 << 20
	manifestIdleTimeout = 15 * time.Second
)

// largestTimeout bounds a request of the largest client. It is the route's timeout.
const largestTimeout = 1500 * time.Millisecond

// largestClient returns the largest client that the manifest allows at an entry.
func largestClient(ctx context.Context, entry *machine) crowd.Largest {
	var next atomic.Int64
	return crowd.Largest{
		HeadBytes: manifestHeadBytes, BodyBytes: manifestBodyBytes, IdleTimeout: manifestIdleTimeout,
		Channels: crowdDescriptors / 2, Requests: 300,
		NewRequest: func(body io.Reader) (*http.Request, error) {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Front+"/safe/x", body)
			if err != nil {
				return nil, err
			}
			request.Host = standin.Host
			request.Header = standin.CallerRequest{ID: fmt.Sprint("largest-", next.Add(1)), Key: "key-open", Timeout: largestTimeout}.Header()
			return request, nil
		},
	}
}

// Guards against limits that clients within those of the manifest meet.
func TestLargestClientAtTheFrontDoor(t *testing.T) {
	b := newCrowdTestbed(t, 123)
	for _, play := range largestClient(t.Context(), b.entries[0]).Plays() {
		t.Run(play.Name, func(t *testing.T) { qt.New(t).Assert(play.Run(), qt.IsNil) })
	}
}

// Guards against a crowd whose heads cost kept channels their running requests.
func TestCrowdOfHeadsCutsNoRequest(t *testing.T) {
	const channels = 20
	b := newCrowdTestbed(t, 124)
	entry := b.entries[0]
	client := largestClient(t.Context(), entry)
	heads := crowd.Heads()
	for _, w := range []crowd.Crowd{heads[1], heads[0], heads[2]} {
		t.Run(w.Name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			var sent atomic.Int64
			for range channels {
				callers.Go(func() {
					channel := crowd.NewChannel()
					defer channel.Close()
					for ctx.Err() == nil {
						request, err := client.NewRequest(strings.NewReader(strings.Repeat("x", 1500)))
						c.Check(err, qt.IsNil)
						err = channel.Do(request)
						var status *crowd.StatusError
						if !errors.As(err, &status) {
							c.Check(err, qt.IsNil)
						}
						sent.Add(1)
					}
				})
			}
			w.Hold(t.Context(), entry.Front)
			cancel()
			callers.Wait()
			c.Check(sent.Load() > 0, qt.IsTrue)
		})
	}
}
