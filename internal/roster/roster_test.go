package roster_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/bounded/boundedtest"
	"github.com/lagoonlane/lagoonlane/internal/feed"
	"github.com/lagoonlane/lagoonlane/internal/limit"
	"github.com/lagoonlane/lagoonlane/internal/roster"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// entry is a Roster that serves on a loopback port.
type entry struct {
	*roster.Roster
	id      string
	address string
	pool    *limit.Pool

	mu            sync.Mutex
	configuration roster.Configuration
}

func (e *entry) current() roster.Configuration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configuration
}

// entryOptions configures an entry. All fields are optional.
type entryOptions struct {
	configuration roster.Configuration
	rollouts      roster.Rollouts
	feeds         []*feed.Feed
	// client sends the entry's calls to others.
	client *http.Client
}

func newEntry(t *testing.T, id string, configuration roster.Configuration) *entry {
	return newEntryOf(t, id, entryOptions{configuration: configuration})
}

func newEntryWith(t *testing.T, id string, configuration roster.Configuration, rollouts roster.Rollouts, feeds ...*feed.Feed) *entry {
	return newEntryOf(t, id, entryOptions{configuration: configuration, rollouts: rollouts, feeds: feeds})
}

func newEntryOf(t *testing.T, id string, options entryOptions) *entry {
	e := &entry{id: id, configuration: options.configuration, pool: limit.NewPool(time.Now())}
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewInternalServer(mux)
	server.Start()
	t.Cleanup(server.Close)
	client := options.client
	if client == nil {
		client = transport.NewClient("", nil)
		t.Cleanup(client.CloseIdleConnections)
	}
	e.address = server.Listener.Addr().String()
	e.Roster = roster.New(roster.Options{
		ID: id, Address: e.address, BootID: id, Client: client, Pool: e.pool, Logger: zerolog.Nop(),
		Configuration: e.current, Rollouts: options.rollouts, Feeds: options.feeds,
		OnNewerConfiguration: func(raw []byte) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.configuration.Raw, e.configuration.Version = raw, int64(len(raw))
		},
		OnVerified: func(version int64, at time.Time) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if version == e.configuration.Version && at.After(e.configuration.VerifiedAt) {
				e.configuration.VerifiedAt = at
			}
		},
	})
	e.Register(mux)
	return e
}

// start runs the entry until the end of the test.
func (e *entry) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func eventually(c *qt.C, condition string, ok func() bool) {
	c.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatalf("not within 10 s: %s", condition)
}

// A pool that awaits the list of entries gets their number with the first registration, and not before:
// until then this entry doesn't know whether it is the only one.
func TestPoolAwaitsTheListOfEntries(t *testing.T) {
	c := qt.New(t)
	e := newEntry(t, "a", roster.Configuration{})
	e.pool.AwaitEntries()
	e.start(t)
	rate := limit.Rate{PerSecond: 1, Burst: 4000}
	// A single entry may spend the initial level, a quarter of the burst; one of many a part of it.
	spend := func() (spent float64) {
		for e.pool.Admit("account", rate, 10, time.Now()) == nil {
			spent += 10
		}
		return spent
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(spend() <= 20, qt.IsTrue)
	e.AddEntry("a", e.address)
	c.Assert(spend() >= 900, qt.IsTrue)
}

// An entry that can't reach the store gets the newest configuration and its verification time
// from another entry. Entries discover each other through a third one, and account use is relayed.
func TestEntriesTellEachOther(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	newest := roster.Configuration{Version: 3, Raw: []byte("abc"), VerifiedAt: steady.Now()}
	entries := []*entry{newEntry(t, "a", newest), newEntry(t, "b", roster.Configuration{Version: 1, Raw: []byte("a")}), newEntry(t, "c", roster.Configuration{})}
	for _, e := range entries[1:] {
		e.AddEntry("a", entries[0].address)
	}
	rate := limit.Rate{PerSecond: 1, Burst: 4000}
	for _, e := range entries {
		// An entry tracks an account after its first request.
		c.Assert(e.pool.Admit("account", rate, 1, time.Now()), qt.IsNil)
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for _, e := range entries {
		running.Go(func() { _ = e.Run(ctx) })
	}
	for i, e := range entries {
		eventually(c, fmt.Sprint("entry ", i, " counts all entries"), func() bool { return e.AliveEntries() == 3 })
		eventually(c, fmt.Sprint("entry ", i, " has the newest configuration"), func() bool {
			current := e.current()
			return current.Version == 3 && string(current.Raw) == "abc" && steady.Since(current.VerifiedAt) < 20*time.Second
		})
	}
	level := func(i int) float64 { return entries[i].pool.Report(time.Now())["account"].Level }
	for i := 1; i <= 2; i++ {
		c.Assert(entries[i].pool.Admit("account", rate, 1, time.Now()), qt.IsNil)
		c.Assert(level(i) > 900, qt.IsTrue)
	}
	c.Assert(entries[0].pool.Admit("account", rate, 300, time.Now()), qt.IsNil)
	eventually(c, "the other entries receive the account use", func() bool { return level(1) < 800 && level(2) < 800 })
}

// A registered entry counts as alive before its first report, since it serves requests too. It
// stops counting once a call to it fails.
func TestRegisteredEntriesCountUntilACallFails(t *testing.T) {
	c := qt.New(t)
	a, b := newEntry(t, "a", roster.Configuration{}), newEntry(t, "b", roster.Configuration{})
	a.AddEntry("b", b.address)
	a.AddEntry("gone", "127.0.0.1:1")
	c.Assert(a.AliveEntries(), qt.Equals, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go a.Run(ctx)
	eventually(c, "the unreachable entry doesn't count", func() bool { return a.AliveEntries() == 2 })
}

// An endless response of another entry is aborted at the size limit, and no part of it is used.
func TestEndlessEntryIsSilent(t *testing.T) {
	for name, bytes := range map[string][2]string{
		"headers": {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"body":    {"HTTP/1.1 200 OK\r\n\r\n", " "},
		"text":    {"HTTP/1.1 200 OK\r\n\r\n{\"id\":\"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := boundedtest.Serve(t, bytes[0], bytes[1])
			client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bounded.MaxHeaderBytes}}
			defer client.CloseIdleConnections()
			offered := make(chan []byte, 1)
			r := roster.New(roster.Options{
				ID: "a", Address: "127.0.0.1:1", BootID: "a", Client: client, Pool: limit.NewPool(time.Now()), Logger: zerolog.Nop(),
				Configuration:        func() roster.Configuration { return roster.Configuration{} },
				OnNewerConfiguration: func(raw []byte) { offered <- raw }, OnVerified: func(int64, time.Time) {},
			})
			r.AddEntry("b", server.Address)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_ = r.Run(ctx)
			c.Assert(offered, qt.HasLen, 0)
			c.Assert(server.Sent.Load() < 100<<20, qt.IsTrue, qt.Commentf("%d", server.Sent.Load()))
		})
	}
}
