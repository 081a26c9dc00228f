package e2e

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
)

// relay forwards TCP connections and can hold back the data of either direction.
type relay struct {
	listener net.Listener
	target   string
	// holdForward holds back data to the target, holdBack data from the target.
	holdForward atomic.Bool
	holdBack    atomic.Bool
	// forwardedBytes counts the forwarded bytes of both directions.
	forwardedBytes atomic.Int64
	closed         chan struct{}
	copies         sync.WaitGroup
	mu             sync.Mutex
	conns          []net.Conn
}

// minForwardedBytes is more than pings alone transfer, so that a link above it carries requests.
const minForwardedBytes = 10_000

// relayPollInterval is the time between two checks whether a held direction may continue.
const relayPollInterval = 5 * time.Millisecond

func newRelay(c *qt.C, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	r := &relay{listener: listener, target: target, closed: make(chan struct{})}
	r.copies.Go(r.accept)
	c.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.mu.Unlock()
		r.copies.Go(func() { r.copy(server, client, &r.holdForward) })
		r.copies.Go(func() { r.copy(client, server, &r.holdBack) })
	}
}

// copy forwards one direction while it is not held back.
func (r *relay) copy(to, from net.Conn, held *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for held.Load() {
			select {
			case <-r.closed:
				return
			case <-time.After(relayPollInterval):
			}
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		r.forwardedBytes.Add(int64(n))
	}
}

// cut closes all connections.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.conns = nil
}

func (r *relay) close() {
	_ = r.listener.Close()
	close(r.closed)
	r.cut()
	r.copies.Wait()
}

// insertRelay puts a relay in front of a sidecar by changing its address in the instance list, and
// waits until the entries use it.
func (s *site) insertRelay(sidecar string) *relay {
	r := newRelay(s.c, s.Process(sidecar).Address)
	s.c.Assert(s.SetInstanceAddress(s.c.Context(), sidecar, r.address()), qt.IsNil)
	time.Sleep(s.Spec.InstanceLag + leaveTimeout)
	return r
}

func TestCutLinkRunsNothingTwice(t *testing.T) {
	faults := map[string]func(r *relay){
		"requests held back": func(r *relay) { holdTemporarily(&r.holdForward) },
		"answers held back":  func(r *relay) { holdTemporarily(&r.holdBack) },
		"connections closed": func(r *relay) {
			for range 20 {
				r.cut()
				time.Sleep(phaseTime / 10)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			r := s.insertRelay("sidecar-ledger-1")
			l := startLoad(s, loadCallers, true)
			before := r.forwardedBytes.Load()
			time.Sleep(phaseTime)
			s.c.Assert(r.forwardedBytes.Load() > before+minForwardedBytes, qt.IsTrue, qt.Commentf("the load does not use the relay"))
			fault(r)
			time.Sleep(phaseTime)
			l.stopAndCheck()
		})
	}
}

// holdTemporarily holds a direction back for longer than the timeout of callers, then releases it.
func holdTemporarily(direction *atomic.Bool) {
	direction.Store(true)
	time.Sleep(operationTimeout + phaseTime)
	direction.Store(false)
}

func TestCutStreamIsResumed(t *testing.T) {
	s := newSite(t)
	var relays []*relay
	for _, name := range []string{"sidecar-engine-1", "sidecar-engine-2", "sidecar-engine-3"} {
		relays = append(relays, s.insertRelay(name))
	}
	ctx, stop := context.WithCancel(t.Context())
	var cutter sync.WaitGroup
	cutter.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(phaseTime / 4)
			for _, r := range relays {
				r.cut()
			}
		}
	})
	const streams = 24
	chats := &history{}
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			chats.add("", s.client.Chat(t.Context(), caller.Chat{
				URL: s.EntryURLs()[i%2], Model: "assistant", Prompt: "a long question", MaxTokens: 150,
				Stream: true, Timeout: 4 * operationTimeout,
			}))
		})
	}
	callers.Wait()
	stop()
	cutter.Wait()
	s.c.Logf("outcomes: %v", chats.counts())
	for _, chat := range chats.results {
		s.c.Check(chat.result.Outcome, qt.Equals, caller.OutcomeWhole, qt.Commentf("%+v", chat.result.Detail))
	}
}

// TestReplacedSidecar starts a second sidecar in front of the same ledger while the first is
// paused, and then resumes the first.
func TestReplacedSidecar(t *testing.T) {
	s := newSite(t)
	l := startLoad(s, loadCallers, true)
	time.Sleep(phaseTime)
	old := s.Process("sidecar-ledger-1")
	s.c.Assert(old.Pause(), qt.IsNil)
	replacement, err := s.StartReplacement(t.Context(), "sidecar-ledger-1")
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(s.SetInstanceAddress(t.Context(), "sidecar-ledger-1", replacement.Address), qt.IsNil)
	time.Sleep(operationTimeout)
	s.c.Assert(old.Resume(), qt.IsNil)
	time.Sleep(phaseTime)
	l.stopAndCheck()
}
