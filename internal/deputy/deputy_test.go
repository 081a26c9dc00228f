package deputy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/deputy"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const (
	// engineSlots is the number of slots of each engine.
	engineSlots = 2
	// takeover bounds the time until a deputy acts after the process before it was lost.
	takeover = 3 * time.Second
)

// testHost is a process that listens in memory.
type testHost struct {
	conns chan net.Conn

	mu sync.Mutex
	// down says that the process refuses connections; frozen, that it reads none.
	down   bool
	frozen bool
	open   []net.Conn
}

func (h *testHost) Accept() (net.Conn, error) {
	conn, ok := <-h.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (h *testHost) Close() error   { return nil }
func (h *testHost) Addr() net.Addr { return &net.TCPAddr{} }

func (h *testHost) dial(ctx context.Context) (net.Conn, error) {
	h.mu.Lock()
	down, frozen := h.down, h.frozen
	h.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if down {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	client, server := net.Pipe()
	select {
	case h.conns <- server:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open = append(h.open, server)
	return client, nil
}

// setDown kills the process, or starts it again.
func (h *testHost) setDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
	if down {
		for _, conn := range h.open {
			_ = conn.Close()
		}
		h.open = nil
	}
}

// testFleet is a number of entries and engines in virtual time. It must be created in a bubble.
type testFleet struct {
	c       *qt.C
	hosts   map[string]*testHost
	entries []*testEntry
	// cut holds the pairs of processes, "from>to", that can't connect.
	mu  sync.Mutex
	cut map[string]bool
	// running counts the granted slots by engine, whoever granted them.
	running map[string]*atomic.Int64
}

type testEntry struct {
	id     string
	client *slots.Client
	deputy *deputy.Deputy
}

func newFleet(t *testing.T, entries, engines int) *testFleet {
	f := &testFleet{c: qt.New(t), hosts: map[string]*testHost{}, cut: map[string]bool{}, running: map[string]*atomic.Int64{}}
	for i := range engines {
		f.running[engineID(i)] = &atomic.Int64{}
		f.startSidecar(t, engineID(i)).setDown(true)
	}
	var known []roster.Entry
	for i := range entries {
		id := fmt.Sprint("entry-", i)
		known = append(known, roster.Entry{ID: id, Address: id})
	}
	for _, entry := range known {
		f.entries = append(f.entries, f.startEntry(t, entry.ID, known))
	}
	return f
}

func engineID(i int) string      { return fmt.Sprint("engine-", i) }
func sidecarOf(id string) string { return "sidecar-of-" + id }

func (f *testFleet) serve(t *testing.T, address string, mux *http.ServeMux) *testHost {
	host := &testHost{conns: make(chan net.Conn)}
	f.hosts[address] = host
	server := transport.NewInternalServer(mux)
	go func() { _ = server.Serve(host) }()
	t.Cleanup(func() {
		host.setDown(true)
		close(host.conns)
		_ = server.Close()
	})
	return host
}

func (f *testFleet) startSidecar(t *testing.T, engine string) *testHost {
	server := slots.NewServer(slots.ServerOptions{
		Queue:  admission.NewSlotQueue(admission.SlotOptions{Slots: engineSlots}),
		Probe:  func(context.Context) (slots.EngineState, error) { return slots.EngineState{}, nil },
		Logger: zerolog.Nop(),
	})
	mux := http.NewServeMux()
	mux.Handle("GET "+slots.Path, server)
	return f.serve(t, sidecarOf(engine), mux)
}

func (f *testFleet) startEntry(t *testing.T, id string, known []roster.Entry) *testEntry {
	e := &testEntry{id: id, client: slots.NewClient(func(ctx context.Context, _, address string) (net.Conn, error) {
		f.mu.Lock()
		cut := f.cut[id+">"+address]
		f.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return f.hosts[address].dial(ctx)
	})}
	e.client.Logger = zerolog.Nop()
	e.deputy = deputy.New(deputy.Options{
		ID: id, Entries: func() []roster.Entry { return known }, Client: e.client, Logger: zerolog.Nop(),
		Sidecar: func(engine string) (string, bool) { return sidecarOf(engine), f.running[engine] != nil },
	})
	mux := http.NewServeMux()
	e.deputy.Register(mux)
	f.serve(t, id, mux)
	t.Cleanup(e.client.Close)
	return e
}

// heldSlot is a slot that a test entry uses.
type heldSlot struct {
	lease   *slots.Lease
	by      string
	running *atomic.Int64
}

func (h *heldSlot) finish() {
	h.running.Add(-1)
	h.lease.Finish(admission.Outcome{Sent: true, FirstToken: 10 * time.Millisecond})
}

// acquire gets a slot the way a gateway does: from the sidecar, or else from the deputy.
func (f *testFleet) acquire(ctx context.Context, e *testEntry, engine, request string) (*heldSlot, error) {
	for {
		endpoint := slots.Endpoint{Address: sidecarOf(engine), Engine: engine}
		if e.client.Lost(endpoint.Address) {
			endpoint = slots.Endpoint{Address: e.deputy.Address(engine), Engine: engine, Deputy: true}
		}
		lease, err := e.client.Acquire(ctx, endpoint, slots.Request{RequestID: request, BudgetMS: 60_000, Slots: engineSlots}, nil)
		if err == nil {
			f.running[engine].Add(1)
			return &heldSlot{lease: lease, by: endpoint.Address, running: f.running[engine]}, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *testFleet) acquireNow(e *testEntry, engine, request string) *heldSlot {
	ctx, cancel := context.WithTimeout(context.Background(), takeover)
	defer cancel()
	held, err := f.acquire(ctx, e, engine, request)
	f.c.Assert(err, qt.IsNil)
	return held
}

// assertFull checks that an entry gets no further slot of an engine for a while.
func (f *testFleet) assertFull(e *testEntry, engine string) {
	ctx, cancel := context.WithTimeout(context.Background(), takeover)
	defer cancel()
	_, err := f.acquire(ctx, e, engine, "one too many")
	f.c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
}

func TestOneDeputyGrantsTheSlotsOfAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 1)
		engine := engineID(0)
		first := f.acquireNow(f.entries[0], engine, "a")
		second := f.acquireNow(f.entries[1], engine, "b")
		f.c.Assert(second.by, qt.Equals, first.by)
		f.assertFull(f.entries[2], engine)
		first.finish()
		third := f.acquireNow(f.entries[3], engine, "c")
		f.c.Assert(third.by, qt.Equals, first.by)
		second.finish()
		third.finish()
	})
}

// While an engine's sidecar answers, no entry grants its slots, and a returned sidecar ends the duty
// of a deputy.
func TestNoDeputyBesideASidecar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		engine := engineID(0)
		held := f.acquireNow(f.entries[0], engine, "a")
		held.finish()
		f.hosts[sidecarOf(engine)].setDown(false)
		time.Sleep(2 * takeover)
		back := f.acquireNow(f.entries[0], engine, "b")
		f.c.Assert(back.by, qt.Equals, sidecarOf(engine))
		back.finish()
		endpoint := slots.Endpoint{Address: held.by, Engine: engine, Deputy: true}
		for range 2 {
			_, err := f.entries[1].client.Acquire(t.Context(), endpoint, slots.Request{RequestID: "c", BudgetMS: 1000, Slots: 1}, nil)
			var refused *slots.RefusedError
			f.c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
			f.c.Assert(refused.Reason, qt.Equals, slots.ReasonNotResponsible)
			time.Sleep(time.Second)
		}
	})
}

// After the loss of a deputy, the next one counts the requests that still run under its slots.
func TestNextDeputyCountsRunningRequests(t *testing.T) {
	for _, how := range []string{"killed", "stopped", "frozen"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 5, 1)
				engine := engineID(0)
				deputyAddress := f.acquireNow(f.entries[0], engine, "probe")
				deputyAddress.finish()
				var others []*testEntry
				for _, e := range f.entries {
					if e.id != deputyAddress.by {
						others = append(others, e)
					}
				}
				held := []*heldSlot{f.acquireNow(others[0], engine, "a"), f.acquireNow(others[0], engine, "b")}
				f.lose(deputyAddress.by, how)
				f.assertFull(others[0], engine)
				held[0].finish()
				next := f.acquireNow(others[0], engine, "c")
				f.c.Assert(next.by, qt.Not(qt.Equals), deputyAddress.by)
				held[1].finish()
				next.finish()
			})
		})
	}
}

func (f *testFleet) lose(address, how string) {
	switch how {
	case "killed":
		f.hosts[address].setDown(true)
	case "stopped":
		for _, e := range f.entries {
			if e.id == address {
				e.deputy.Close()
			}
		}
	case "frozen":
		f.hosts[address].setDown(true)
		f.hosts[address].mu.Lock()
		defer f.hosts[address].mu.Unlock()
		f.hosts[address].frozen = true
	}
}

// An entry that alone can't reach the deputy doesn't make another entry act beside it.
func TestCutOffEntryMakesNoSecondDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 1)
		engine := engineID(0)
		held := f.acquireNow(f.entries[0], engine, "a")
		var cutOff *testEntry
		for _, e := range f.entries {
			if e.id != held.by {
				cutOff = e
			}
		}
		f.mu.Lock()
		f.cut[cutOff.id+">"+held.by] = true
		f.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), takeover)
		defer cancel()
		_, err := f.acquire(ctx, cutOff, engine, "b")
		f.c.Assert(err, qt.Not(qt.IsNil))
		held.finish()
	})
}

// The load pattern of a deployment without sidecars: many small entries share the engines. Almost all
// slots are used, and no engine runs more requests than it has slots.
func TestManyEntriesShareEnginesWithoutSidecars(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			entries, engines = 18, 6
			serviceTime      = 200 * time.Millisecond
			length           = 5 * time.Second
		)
		f := newFleet(t, entries, engines)
		for i := range engines {
			f.acquireNow(f.entries[0], engineID(i), "probe").finish()
		}
		var served, most atomic.Int64
		ctx, cancel := context.WithTimeout(t.Context(), length)
		defer cancel()
		var wg sync.WaitGroup
		for i, e := range f.entries {
			engine := engineID(i % engines)
			wg.Go(func() {
				for n := 0; ; n++ {
					held, err := f.acquire(ctx, e, engine, fmt.Sprint(e.id, n))
					if err != nil {
						return
					}
					if running := f.running[engine].Load(); running > most.Load() {
						most.Store(running)
					}
					time.Sleep(serviceTime)
					served.Add(1)
					held.finish()
				}
			})
		}
		wg.Wait()
		capacity := int64(engines * engineSlots * (length / serviceTime))
		f.c.Assert(most.Load() <= engineSlots, qt.IsTrue, qt.Commentf("%d", most.Load()))
		f.c.Assert(10*served.Load() >= 9*capacity, qt.IsTrue, qt.Commentf("%d of %d", served.Load(), capacity))
	})
}
