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
	// orderDuration is the duration of the orders.
	orderDuration = 20 * time.Second
	// requestsPerSecond is the rate of requests to the service over all entries.
	requestsPerSecond = 60
	// exchangeInterval is the time between two rounds of exchanges between entries.
	exchangeInterval = 150 * time.Millisecond
	// exchangeDelay is the duration of one exchange.
	exchangeDelay = 40 * time.Millisecond
)

var (
	bounds = rollout.Bounds{Share: 0.1, Slack: 50}
	routes = []string{"long", "middle", "short"}
)

// response describes how a server responds to a request. Both times count from the send.
type response struct {
	firstEvent, total time.Duration
	failed            bool
	broken            bool
}

// behaviour returns the response of one version to a request. The parameter since is the time
// since the order, load the number of requests running at the version.
type behaviour func(random *rand.Rand, route string, since time.Duration, load int) response

// healthy responds within the usual times.
func healthy(random *rand.Rand, route string, _ time.Duration, _ int) response {
	first := time.Duration((0.6 + 0.8*random.Float64()) * float64(80*time.Millisecond))
	rest := map[string]time.Duration{"long": 1500, "middle": 500, "short": 150}[route] * time.Millisecond
	return response{firstEvent: first, total: first + time.Duration((0.8+0.4*random.Float64())*float64(rest))}
}

// entry is the controller of one entry.
type entry struct {
	*rollout.Controller
	id     string
	boot   string
	cancel context.CancelFunc
}

// simulation runs several entries in front of the servers of one service.
type simulation struct {
	*testing.T
	c       *qt.C
	log     *fakeLog
	random  *rand.Rand
	ctx     context.Context
	entries []*entry
	servers []fleet.Server
	// versions holds the behaviour of each version.
	versions  map[string]behaviour
	orderedAt time.Time

	mu sync.Mutex
	// sends counts the requests by version since the order, refusedCount those for which there
	// was no server.
	sends        map[string]int
	refusedCount int
	// allSends counts the requests by version since the start.
	allSends map[string]int
	running  map[string]int
	// lastTargetSend is when the new version got its last request.
	lastTargetSend time.Time
	// partitioned is set while no entry reaches another one.
	partitioned bool
	// isolated is the ID of an entry that reaches no other one.
	isolated string
	// stopped holds the versions whose servers have ended, and are still registered.
	stopped map[string]bool
	// requestsPerSecond is the current rate of requests.
	requestsPerSecond int
}

func (e *entry) markRecordsRead() { e.MarkRecordsRead() }

// simulate runs a simulation in virtual time.
func simulate(t *testing.T, entries int, version behaviour, run func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Let the longest request end.
			time.Sleep(orderDuration)
		}()
		sim := &simulation{
			T: t, c: qt.New(t), log: &fakeLog{}, random: rand.New(rand.NewPCG(1, 2)), ctx: ctx,
			versions:          map[string]behaviour{oldVersion: healthy, newVersion: version},
			requestsPerSecond: requestsPerSecond,
			sends:             map[string]int{}, allSends: map[string]int{}, running: map[string]int{}, stopped: map[string]bool{},
		}
		sim.addServers(oldVersion, 4)
		for i := range entries {
			sim.entries = append(sim.entries, sim.startEntry(fmt.Sprint("entry-", i)))
			sim.entries[i].MarkOrdersRead(time.Now())
		}
		go sim.runExchanges()
		go sim.runTraffic()
		sim.sleep(2 * time.Second)
		run(sim)
	})
}

// addServers registers servers of a version.
func (sim *simulation) addServers(version string, n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := range n {
		sim.servers = append(sim.servers, fleet.Server{
			ID: fmt.Sprintf("%s-%d", version, len(sim.servers)+i), Service: "model", Version: version, Slots: 8, StartedAt: time.Now(),
		})
	}
}

// removeServers removes all servers of a version.
func (sim *simulation) removeServers(version string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var rest []fleet.Server
	for _, s := range sim.servers {
		if s.Version != version {
			rest = append(rest, s)
		}
	}
	sim.servers = rest
}

func (sim *simulation) ready(string, time.Time) []fleet.Server {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]fleet.Server(nil), sim.servers...)
}

// startEntry starts the controller of an entry, without orders or records.
func (sim *simulation) startEntry(id string) *entry {
	ctx, cancel := context.WithCancel(sim.ctx)
	e := &entry{id: id, boot: fmt.Sprint(time.Now().UnixNano()), cancel: cancel}
	controller, err := rollout.New(rollout.Options{
		ID: id, Bounds: bounds, Log: entryLog{sim.log, id}, Ready: sim.ready,
		Registered: sim.ready, Membership: func() rollout.Membership { return sim.membership(id) }, Logger: zerolog.New(zerolog.NewTestWriter(sim.T)),
	})
	sim.c.Assert(err, qt.IsNil)
	e.Controller = controller
	go func() { _ = controller.Run(ctx) }()
	return e
}

func (sim *simulation) membership(id string) rollout.Membership {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.partitioned || sim.isolated == id {
		return rollout.Membership{Entries: len(sim.entries)}
	}
	s := rollout.Membership{Entries: len(sim.entries), HasQuorum: true}
	for _, e := range sim.entries {
		if e != nil && e.id < id {
			s.Rank++
		}
	}
	return s
}

// killEntry stops an entry and leaves its place empty.
func (sim *simulation) killEntry(i int) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	e := sim.entries[i]
	e.cancel()
	sim.entries[i] = nil
	return e.id
}

// restartEntry starts a stopped entry again. It reads the order, then the newest record.
func (sim *simulation) restartEntry(i int, id string, order rollout.Order) {
	e := sim.startEntry(id)
	e.Rewound(sim.log.currentEra(), false)
	e.SetOrder(order)
	e.MarkOrdersRead(time.Now())
	if record, _, err := (entryLog{sim.log, id}).Current(sim.ctx, "model"); err == nil {
		e.ApplyRecord(record)
		e.MarkRecordsRead()
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.entries[i] = e
}

// forEachEntry calls a function with every live entry.
func (sim *simulation) forEachEntry(f func(*entry)) {
	sim.mu.Lock()
	list := append([]*entry(nil), sim.entries...)
	sim.mu.Unlock()
	for _, e := range list {
		if e != nil {
			f(e)
		}
	}
}

// runExchanges exchanges reports between all entries, and lets them read the orders.
func (sim *simulation) runExchanges() {
	for sim.ctx.Err() == nil {
		time.Sleep(exchangeInterval)
		sim.mu.Lock()
		partitioned, isolated := sim.partitioned, sim.isolated
		sim.mu.Unlock()
		sim.forEachEntry(func(from *entry) {
			from.MarkOrdersRead(time.Now())
			if partitioned || from.id == isolated {
				return
			}
			reports := from.Reports()
			sim.forEachEntry(func(to *entry) {
				if to.id != from.id && to.id != isolated {
					// The receiver dates the reports back to the start of the exchange.
					to.HandleReports(from.id, from.boot, reports, time.Now().Add(-exchangeDelay))
				}
			})
		})
	}
}

// runTraffic sends requests to random entries, unevenly distributed.
func (sim *simulation) runTraffic() {
	for n := 0; sim.ctx.Err() == nil; n++ {
		sim.mu.Lock()
		pause := time.Second / time.Duration(sim.requestsPerSecond)
		sim.mu.Unlock()
		time.Sleep(pause)
		sim.mu.Lock()
		e := sim.entries[min(sim.random.IntN(len(sim.entries)), sim.random.IntN(len(sim.entries)+1))]
		route := routes[sim.random.IntN(len(routes))]
		sim.mu.Unlock()
		if e != nil {
			go sim.sendRequest(e, route)
		}
	}
}

// sendRequest sends one request through an entry.
func (sim *simulation) sendRequest(e *entry, route string) {
	choice := e.Choose("model", route, sim.ready("model", time.Now()), false, time.Now())
	sim.mu.Lock()
	if len(choice.Preferred) == 0 {
		sim.refusedCount++
		sim.mu.Unlock()
		choice.Release()
		return
	}
	server := choice.Preferred[sim.random.IntN(len(choice.Preferred))]
	version := server.Version
	if sim.stopped[version] {
		sim.refusedCount++
		sim.mu.Unlock()
		e.BeginSend(server, route).End(rollout.SendResult{Unsent: true, Failed: true})
		return
	}
	if !sim.orderedAt.IsZero() && time.Since(sim.orderedAt) < orderDuration {
		sim.sends[version]++
	}
	sim.allSends[version]++
	if version == newVersion {
		sim.lastTargetSend = time.Now()
	}
	sim.running[version]++
	response := sim.versions[version](sim.random, route, time.Since(sim.orderedAt), sim.running[version])
	sim.mu.Unlock()
	send := e.BeginSend(server, route)
	time.Sleep(response.firstEvent)
	if !response.failed {
		send.ObserveFirstEvent(response.firstEvent)
	}
	time.Sleep(response.total - response.firstEvent)
	events := 10
	if response.failed {
		events = 0
	}
	send.End(rollout.SendResult{Failed: response.failed, Broken: response.broken, FirstEvent: response.firstEvent, Events: events})
	sim.mu.Lock()
	sim.running[version]--
	sim.mu.Unlock()
}

// update changes the simulation while mu is held.
func (sim *simulation) update(change func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	change()
}

// orderAge returns the time since the order.
func (sim *simulation) orderAge() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Since(sim.orderedAt)
}

// lastTargetSent returns when the new version got its last request.
func (sim *simulation) lastTargetSent() time.Time {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.lastTargetSend
}

// refusals returns the number of requests for which there was no server.
func (sim *simulation) refusals() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.refusedCount
}

func (sim *simulation) sleep(d time.Duration) { time.Sleep(d) }

// placeOrder gives an order to all entries. The new servers start one second later.
func (sim *simulation) placeOrder(id uint64) rollout.Order {
	order := rollout.Order{Service: "model", Target: newVersion, Duration: orderDuration, ID: id}
	sim.mu.Lock()
	sim.orderedAt = time.Now()
	sim.sends = map[string]int{}
	sim.mu.Unlock()
	sim.forEachEntry(func(e *entry) { e.SetOrder(order) })
	sim.sleep(time.Second)
	sim.addServers(newVersion, 4)
	return order
}

// waitForState waits until a state is recorded, at most until the order's deadline.
func (sim *simulation) waitForState(order uint64, state rollout.State) bool {
	for sim.orderAge() < orderDuration {
		for _, s := range sim.log.states(order) {
			if s == state {
				return true
			}
		}
		sim.sleep(20 * time.Millisecond)
	}
	return false
}

func (sim *simulation) targetSends() (target, all int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.sends[newVersion], sim.sends[newVersion] + sim.sends[oldVersion]
}

// versionSends returns the requests to a version and to all since the start.
func (sim *simulation) versionSends(version string) (sends, all int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range sim.allSends {
		all += n
	}
	return sim.allSends[version], all
}

// assertExposureBounded checks the bound on requests to the new version during the order.
func (sim *simulation) assertExposureBounded() {
	sim.Helper()
	target, all := sim.targetSends()
	sim.c.Assert(float64(target) <= bounds.Share*float64(all)+bounds.Slack, qt.IsTrue, qt.Commentf("%d of %d", target, all))
}

// assertNoTargetSends checks that the new version gets no requests for a while.
func (sim *simulation) assertNoTargetSends(duration time.Duration) {
	sim.Helper()
	since := time.Now()
	sim.sleep(duration)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.c.Assert(sim.lastTargetSend.After(since), qt.IsFalse, qt.Commentf("a request %v after the end of the roll-out", sim.lastTargetSend.Sub(since)))
}
