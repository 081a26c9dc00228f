package membership

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// fakeList is an instance list with a simulated outage.
type fakeList struct {
	mu   sync.Mutex
	list []platform.Instance
	down bool
}

func (f *fakeList) set(down bool, list ...platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	f.list = list
}

func (f *fakeList) List(context.Context) ([]platform.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, &platform.UnavailableError{Service: "instance list", Cause: context.DeadlineExceeded}
	}
	return f.list, nil
}

func TestPollerKeepsLastListThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		source := &fakeList{down: true}
		poller := New(source, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- poller.Run(ctx) }()

		time.Sleep(2 * PollInterval)
		_, err := poller.List(ctx)
		var unavailable *platform.UnavailableError
		c.Assert(errors.As(err, &unavailable), qt.IsTrue)

		source.set(false, platform.Instance{ID: "a", Address: "127.0.0.1:1"}, platform.Instance{ID: "b", Address: "127.0.0.1:2"})
		time.Sleep(2 * PollInterval)
		source.set(true)
		time.Sleep(time.Minute)
		list, err := poller.List(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 2)
		c.Assert(poller.AddressesExcept("127.0.0.1:1"), qt.DeepEquals, []string{"127.0.0.1:2"})
		cancel()
		c.Assert(<-done, qt.IsNil)
	})
}
