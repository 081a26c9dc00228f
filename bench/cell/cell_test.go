package cell

import (
	"errors"
	"io"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWorkloadIsDeterministic(t *testing.T) {
	c := qt.New(t)
	const perSecond, end = 50.0, 60 * time.Second
	mix := DefaultMix()
	arrivals := mix.Generate(3, ConstantRate(perSecond), perSecond, end)
	c.Assert(mix.Generate(3, ConstantRate(perSecond), perSecond, end), qt.DeepEquals, arrivals)
	c.Assert(len(arrivals) > 2700 && len(arrivals) < 3300, qt.IsTrue, qt.Commentf("%d arrivals", len(arrivals)))
	tiers := make([]int, len(mix.Tiers))
	for _, arrival := range arrivals {
		tiers[arrival.Tier]++
		c.Assert(arrival.UniqueTokens >= mix.PromptMin && arrival.UniqueTokens <= mix.PromptMax, qt.IsTrue)
		c.Assert(len(arrival.Prompt()), qt.Equals, 4*(arrival.UniqueTokens+arrival.PrefixTokens))
	}
	for i, n := range tiers {
		share := float64(n) / float64(len(arrivals))
		c.Assert(share > mix.Tiers[i].Share-0.03 && share < mix.Tiers[i].Share+0.03, qt.IsTrue, qt.Commentf("tier %d: %.3f", i, share))
	}
}

func TestBurstRisesTenfold(t *testing.T) {
	c := qt.New(t)
	rate := BurstRate(5, 10*time.Second)
	c.Assert(rate(9*time.Second), qt.Equals, 5.0)
	c.Assert(rate(25*time.Second), qt.Equals, 27.5)
	c.Assert(rate(40*time.Second), qt.Equals, 50.0)
	c.Assert(rate(71*time.Second), qt.Equals, 5.0)
}

func TestDisconnectBreaksConnections(t *testing.T) {
	// The race detector of go1.26 can fail when timers of a synctest bubble are read
	// by several processors.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cell := &Cell{Network: NewNetwork()}
		const address = "10.0.0.9:80"
		arrived := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				close(arrived)
				<-r.Context().Done()
			}
			_, _ = io.WriteString(w, "ok")
		})
		c.Assert(cell.serve(address, &http.Server{Handler: handler}), qt.IsNil)
		defer cell.Close()
		var inUse *AddressInUseError
		c.Assert(errors.As(cell.serve(address, &http.Server{}), &inUse), qt.IsTrue)
		client := cell.Client()
		defer client.CloseIdleConnections()
		broken := make(chan error)
		go func() {
			_, err := client.Get("http://" + address + "/wait")
			broken <- err
		}()
		<-arrived
		cell.Network.Disconnect(address)
		c.Assert(<-broken, qt.Not(qt.IsNil))
		_, err := client.Get("http://" + address)
		var refused *RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		cell.Network.Reconnect(address)
		resp, err := client.Get("http://" + address)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
	})
}
