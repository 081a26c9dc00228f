package soak

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/crowd"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// The bounds that a process must keep under each crowd: it lives, stays within the memory and the descriptors of its
// settings, and answers one ordinary request afterwards.
const (
	crowdMemoryMB    = 64
	crowdDescriptors = 512
)

// crowdRequest returns the head of a request that an entry accepts, without its end.
func crowdRequest() string {
	var head strings.Builder
	head.WriteString("POST /safe/x HTTP/1.1\r\nHost: " + standin.Host + "\r\n")
	// Writing to a strings.Builder doesn't fail.
	_ = standin.CallerRequest{ID: "crowd", Key: "key-open", Timeout: plainTimeout}.Header().Write(&head)
	return head.String()
}

func newCrowdTestbed(t *testing.T, network int) *testbed {
	c := qt.New(t)
	bin := t.TempDir()
	c.Assert(deploy.Build(t.Context(), bin, "./cmd/lagoonlane"), qt.IsNil)
	o := Options{
		Seed: 1, Program: filepath.Join(bin, "lagoonlane"), Dir: t.TempDir(), Network: network, Entries: 1, Engines: 1, PlainServers: 1,
		MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors,
	}.withDefaults()
	starting, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	b, err := newTestbed(starting, o)
	t.Cleanup(func() { c.Check(b.close(), qt.IsNil) })
	c.Assert(err, qt.IsNil)
	time.Sleep(settleTime)
	return b
}

// checkCrowd checks the bounds of a process while and after a crowd is at one of its addresses.
func checkCrowd(t *testing.T, w crowd.Crowd, b *testbed, m *machine, address string) {
	holdCrowd(t, w, m, address)
	askOnce(t, "after "+w.Name, b, "safe")
}

// checkCrowdBeside is checkCrowd with an ordinary request of another kind also while the crowd is there.
func checkCrowdBeside(t *testing.T, w crowd.Crowd, b *testbed, m *machine, address, kind string) {
	var beside sync.WaitGroup
	beside.Go(func() {
		time.Sleep(besideDelay)
		askOnce(t, "beside "+w.Name, b, kind)
	})
	holdCrowd(t, w, m, address)
	beside.Wait()
	askOnce(t, "after "+w.Name, b, kind)
}

// besideDelay is when an ordinary request is sent beside a crowd, which has opened its connections by then.
const besideDelay = 1500 * time.Millisecond

// askOnce checks that one ordinary request is answered.
func askOnce(t *testing.T, id string, b *testbed, kind string) {
	call := &call{ID: id, Kind: kind, Key: "key-open", Entry: b.entries[0], Tokens: plainTokens, Timeout: plainTimeout}
	if call.isStream() {
		call.Timeout = streamTimeout
	}
	newCallerGroup(b).do(&http.Transport{DisableKeepAlives: true}, call)
	qt.New(t).Check(call.Status, qt.Equals, http.StatusOK, qt.Commentf("an ordinary request %s: %v %s", id, call.Err, call.Body))
}

// holdCrowd holds a crowd at an address of a process and checks its bounds.
func holdCrowd(t *testing.T, w crowd.Crowd, m *machine, address string) {
	c := qt.New(t)
	pid := m.process.PID()
	watched := crowd.Watch(pid)
	w.Hold(t.Context(), address)
	most := watched()
	c.Check(m.process.Running(), qt.IsTrue)
	c.Check(m.process.PID(), qt.Equals, pid)
	peak, err := peakBytes(m.process, m.Name)
	c.Assert(err, qt.IsNil)
	t.Logf("peak memory %d MB, most descriptors %d", peak>>20, most)
	c.Check(peak <= crowdMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB resident, the machine has %d", peak>>20, crowdMemoryMB))
	c.Check(most <= crowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors, the machine has %d", most, crowdDescriptors))
}

// Guards against clients that keep to no limit and end an entry.
func TestCrowdAtTheFrontDoor(t *testing.T) {
	b := newCrowdTestbed(t, 120)
	bodies := crowd.Bodies(crowdRequest())
	for _, w := range append(crowd.Heads(), bodies[:len(bodies)-1]...) {
		t.Run(w.Name, func(t *testing.T) { checkCrowd(t, w, b, b.entries[0], b.entries[0].Front) })
	}
}

// Guards against clients that send proper requests and read no answer, the last of the crowds with a head.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	b := newCrowdTestbed(t, 122)
	bodies := crowd.Bodies(crowdRequest())
	checkCrowd(t, bodies[len(bodies)-1], b, b.entries[0], b.entries[0].Front)
}

// refusedRequest is the head of a request that an entry refuses before it reads the body.
const refusedRequest = "POST /nowhere/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nLagoonlane-Request-Id: crowd\r\n"

// Guards against clients whose connections count as serving without end, so that none is left for others.
func TestCrowdThatWaitsAtTheFrontDoor(t *testing.T) {
	b := newCrowdTestbed(t, 125)
	for _, w := range crowd.Waiting(crowdRequest(), refusedRequest) {
		t.Run(w.Name, func(t *testing.T) { checkCrowdBeside(t, w, b, b.entries[0], b.entries[0].Front, "safe") })
	}
}

// Guards against clients that use the other protocols and answers of the addresses between processes.
func TestCrowdThatWaitsAtTheOtherAddresses(t *testing.T) {
	b := newCrowdTestbed(t, 126)
	entry, sidecar := b.entries[0], b.sidecars[0]
	internal := func(m *machine) string { return join(m.IP, internalPort) }
	metrics := func(m *machine) string { return join(m.IP, internalPort+1) }
	play := func(name string, w crowd.Crowd, m *machine, address string) {
		t.Run(name+", "+w.Name, func(t *testing.T) { checkCrowdBeside(t, w, b, m, address, "stream") })
	}
	for _, w := range crowd.HTTP2("/metrics") {
		play("entry, internal", w, entry, internal(entry))
		play("sidecar, slots", w, sidecar, internal(sidecar))
	}
	play("sidecar, slots", crowd.TakenOver(slots.Path, slots.Protocol), sidecar, internal(sidecar))
	play("entry, deputy", crowd.TakenOver(slots.Path+"/engine", slots.Protocol), entry, internal(entry))
	play("entry, metrics", crowd.Unread("GET /metrics HTTP/1.1\r\nHost: s\r\n"), entry, metrics(entry))
	play("sidecar, metrics", crowd.Unread("GET /metrics HTTP/1.1\r\nHost: s\r\n"), sidecar, metrics(sidecar))
	play("entry, readiness", crowd.Unread("GET "+platform.ReadyPath+" HTTP/1.1\r\nHost: s\r\n"), entry, entry.Ready)
	for _, w := range crowd.Waiting("POST "+roster.PathExchange+" HTTP/1.1\r\nHost: s\r\n", "POST /nowhere HTTP/1.1\r\nHost: s\r\n") {
		play("entry, internal", w, entry, internal(entry))
	}
	for _, w := range crowd.Bodies("POST " + roster.PathExchange + " HTTP/1.1\r\nHost: s\r\n") {
		play("entry, internal", w, entry, internal(entry))
	}
}

// Guards against clients that find another address of a process than the front door.
func TestCrowdAtTheOtherAddresses(t *testing.T) {
	b := newCrowdTestbed(t, 121)
	entry, sidecar := b.entries[0], b.sidecars[0]
	for name, target := range map[string]struct {
		m       *machine
		address string
	}{
		"entry, readiness": {entry, entry.Ready},
		"entry, internal":  {entry, join(entry.IP, internalPort)},
		"entry, metrics":   {entry, join(entry.IP, internalPort+1)},
		"sidecar, slots":   {sidecar, join(sidecar.IP, internalPort)},
		"sidecar, metrics": {sidecar, join(sidecar.IP, internalPort+1)},
	} {
		for _, w := range crowd.Heads() {
			t.Run(name+", "+w.Name, func(t *testing.T) { checkCrowd(t, w, b, target.m, target.address) })
		}
	}
}
