package rollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

const (
	oldVersion = "v1"
	newVersion = "v2"
	// orderTime is the duration of the orders.
	orderTime = 20 * time.Second
	// requestRate is the number of requests a second to the service, by all entries.
	requestRate = 60
	// exchangePeriod is the time between two rounds in which entries tell each other.
	exchangePeriod = 150 * time.Millisecond
	// callTime is how long one exchange takes.
	callTime = 40 * time.Millisecond
)

var (
	bounds = rollout.Bounds{Share: 0.1, Slack: 50}
	routes = []string{"long", "middle", "short"}
)

// answer is what a server does with a request.
type answer struct {
	first, whole time.Duration
	failed       bool
	broken       bool
}

// behaviour gives the answers of one version. Since is the time since the order, load
// the number of requests that run at the version.
type behaviour func(random *rand.Rand, route string, since time.Duration, load int) answer

// good answers within the usual times.
func good(random *rand.Rand, route string, _ time.Duration, _ int) answer {
	first := time.Duration((0.6 + 0.8*random.Float64()) * float64(80*time.Millisecond))
	rest := map[string]time.Duration{"long": 1500, "middle": 500, "short": 150}[route] * time.Millisecond
	return answer{first: first, whole: first + time.Duration((0.8+0.4*random.Float64())*float64(rest))}
}

// entry is one entry's keeper.
type entry struct {
	*rollout.Keeper
	id     string
	boot   string
	cancel context.CancelFunc
}

// world is some entries before the servers of one service.
type world struct {
	*testing.T
	c       *qt.C
	log     *fakeLog
	random  *rand.Rand
	ctx     context.Context
	entries []*entry
	servers []fleet.Server
	// versions give the answers.
	versions map[string]behaviour
	ordered  time.Time

	mu sync.Mutex
	// sends counts the requests by version since the order, refused those with no server.
	sends   map[string]int
	refused int
	running map[string]int
	// lastTarget is when the new version got its last request.
	lastTarget time.Time
	// cut says that no entry reaches another one.
	cut bool
	// rate is the number of requests a second.
	rate int
}

func (e *entry) recordsKnown() { e.RecordsKnown() }

// play runs a world of entries in virtual time.
func play(t *testing.T, entries int, version behaviour, run func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// The longest request ends.
			time.Sleep(orderTime)
		}()
		w := &world{
			T: t, c: qt.New(t), log: &fakeLog{}, random: rand.New(rand.NewPCG(1, 2)), ctx: ctx,
			versions: map[string]behaviour{oldVersion: good, newVersion: version},
			rate:     requestRate,
			sends:    map[string]int{}, running: map[string]int{},
		}
		w.add(oldVersion, 4)
		for i := range entries {
			w.entries = append(w.entries, w.start(fmt.Sprint("entry-", i)))
			w.entries[i].OrdersKnown(time.Now())
		}
		go w.exchange()
		go w.traffic()
		w.pass(2 * time.Second)
		run(w)
	})
}

// add registers servers of a version.
func (w *world) add(version string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range n {
		w.servers = append(w.servers, fleet.Server{
			ID: fmt.Sprintf("%s-%d", version, len(w.servers)+i), Service: "model", Version: version, Slots: 8, Born: time.Now(),
		})
	}
}

// remove takes all servers of a version away.
func (w *world) remove(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []fleet.Server
	for _, s := range w.servers {
		if s.Version != version {
			rest = append(rest, s)
		}
	}
	w.servers = rest
}

func (w *world) ready(string, time.Time) []fleet.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]fleet.Server(nil), w.servers...)
}

// start starts an entry's keeper, which knows nothing.
func (w *world) start(id string) *entry {
	ctx, cancel := context.WithCancel(w.ctx)
	e := &entry{id: id, boot: fmt.Sprint(time.Now().UnixNano()), cancel: cancel}
	keeper, err := rollout.New(rollout.Options{
		ID: id, Bounds: bounds, Log: logOf{w.log, id}, Ready: w.ready,
		Standing: func() rollout.Standing { return w.standing(id) }, Logger: zerolog.New(zerolog.NewTestWriter(w.T)),
	})
	w.c.Assert(err, qt.IsNil)
	e.Keeper = keeper
	go func() { _ = keeper.Run(ctx) }()
	return e
}

func (w *world) standing(id string) rollout.Standing {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut {
		return rollout.Standing{Known: len(w.entries)}
	}
	s := rollout.Standing{Known: len(w.entries), Quorate: true}
	for _, e := range w.entries {
		if e != nil && e.id < id {
			s.Rank++
		}
	}
	return s
}

// kill ends an entry; its place is empty.
func (w *world) kill(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.entries[i]
	e.cancel()
	w.entries[i] = nil
	return e.id
}

// restart starts an entry again that was killed. It reads the order from a list, then the
// newest record.
func (w *world) restart(i int, id string, order rollout.Order) {
	e := w.start(id)
	e.Ordered(order)
	e.OrdersKnown(time.Now())
	if record, _, err := (logOf{w.log, id}).Current(w.ctx, "model"); err == nil {
		e.Recorded(record)
		e.RecordsKnown()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[i] = e
}

// each calls a function with every live entry.
func (w *world) each(f func(*entry)) {
	w.mu.Lock()
	list := append([]*entry(nil), w.entries...)
	w.mu.Unlock()
	for _, e := range list {
		if e != nil {
			f(e)
		}
	}
}

// exchange lets all entries tell each other, and read the orders.
func (w *world) exchange() {
	for w.ctx.Err() == nil {
		time.Sleep(exchangePeriod)
		w.mu.Lock()
		cut := w.cut
		w.mu.Unlock()
		w.each(func(from *entry) {
			from.OrdersKnown(time.Now())
			if cut {
				return
			}
			reports := from.Report()
			w.each(func(to *entry) {
				if to.id != from.id {
					// An entry that called takes the answer for as old as its call.
					to.Hear(from.id, from.boot, reports, time.Now().Add(-callTime))
				}
			})
		})
	}
}

// traffic sends requests to the entries in turn, unevenly.
func (w *world) traffic() {
	for n := 0; w.ctx.Err() == nil; n++ {
		w.mu.Lock()
		pause := time.Second / time.Duration(w.rate)
		w.mu.Unlock()
		time.Sleep(pause)
		w.mu.Lock()
		e := w.entries[min(w.random.IntN(len(w.entries)), w.random.IntN(len(w.entries)+1))]
		route := routes[w.random.IntN(len(routes))]
		w.mu.Unlock()
		if e != nil {
			go w.request(e, route)
		}
	}
}

// request is one request at an entry.
func (w *world) request(e *entry, route string) {
	choice := e.Choose("model", route, w.ready("model", time.Now()), false, time.Now())
	w.mu.Lock()
	if len(choice.First) == 0 {
		w.refused++
		w.mu.Unlock()
		choice.Return()
		return
	}
	server := choice.First[w.random.IntN(len(choice.First))]
	version := server.Version
	if !w.ordered.IsZero() && time.Since(w.ordered) < orderTime {
		w.sends[version]++
	}
	if version == newVersion {
		w.lastTarget = time.Now()
	}
	w.running[version]++
	a := w.versions[version](w.random, route, time.Since(w.ordered), w.running[version])
	w.mu.Unlock()
	flight := e.Begin(server, route)
	time.Sleep(a.first)
	if !a.failed {
		flight.First(a.first)
	}
	time.Sleep(a.whole - a.first)
	events := 10
	if a.failed {
		events = 0
	}
	flight.End(rollout.Landing{Failed: a.failed, Broken: a.broken, FirstEvent: a.first, Events: events})
	w.mu.Lock()
	w.running[version]--
	w.mu.Unlock()
}

// set changes the world.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// age returns the time since the order.
func (w *world) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.ordered)
}

// last returns when the new version got its last request.
func (w *world) last() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastTarget
}

// refusals returns the number of requests that found no server.
func (w *world) refusals() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

func (w *world) pass(d time.Duration) { time.Sleep(d) }

// order gives an order to all entries; the new servers start a second later.
func (w *world) order(id uint64) rollout.Order {
	order := rollout.Order{Service: "model", Target: newVersion, Duration: orderTime, ID: id}
	w.mu.Lock()
	w.ordered = time.Now()
	w.sends = map[string]int{}
	w.mu.Unlock()
	w.each(func(e *entry) { e.Ordered(order) })
	w.pass(time.Second)
	w.add(newVersion, 4)
	return order
}

// until waits until a state is recorded, at most to the order's deadline.
func (w *world) until(order uint64, state rollout.State) bool {
	for w.age() < orderTime {
		for _, s := range w.log.states(order) {
			if s == state {
				return true
			}
		}
		w.pass(20 * time.Millisecond)
	}
	return false
}

func (w *world) targetSends() (target, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sends[newVersion], w.sends[newVersion] + w.sends[oldVersion]
}

// assertBounded checks the bound on exposure, over the time of the order.
func (w *world) assertBounded() {
	w.Helper()
	target, all := w.targetSends()
	w.c.Assert(float64(target) <= bounds.Share*float64(all)+bounds.Slack, qt.IsTrue, qt.Commentf("%d of %d", target, all))
}

// assertUntouched checks that the new version gets nothing more.
func (w *world) assertUntouched(for_ time.Duration) {
	w.Helper()
	since := time.Now()
	w.pass(for_)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.Assert(w.lastTarget.After(since), qt.IsFalse, qt.Commentf("a request %v after the end of the roll-out", w.lastTarget.Sub(since)))
}
