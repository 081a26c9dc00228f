package entry

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/frame"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// queueLane is a sidecar with a real admission queue of small capacity, behind a link with
// latency.
type queueLane struct {
	*fakeLane
	queue       *admission.Queue
	serviceTime func() time.Duration
	delay       func() time.Duration

	mu       sync.Mutex
	sequence uint64
	tickets  map[string]*admission.Ticket
	// queued holds the rank and submission time of each waiting ticket, by dispatch id.
	queued map[string]queuedTicket
}

type queuedTicket struct {
	rank  uint32
	since time.Time
}

func newQueueLane(id string, slots, capacity int, serviceTime, delay func() time.Duration) *queueLane {
	return &queueLane{fakeLane: newFakeLane(id), serviceTime: serviceTime, delay: delay,
		queue:   admission.NewQueue(admission.Options{MaxConcurrency: slots, MaxQueued: capacity}),
		tickets: map[string]*admission.Ticket{}, queued: map[string]queuedTicket{}}
}

func (l *queueLane) loadReport() *lanepb.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	state := l.queue.Load()
	return &lanepb.Load{BackendServer: l.id, BootId: "b", Sequence: l.sequence, Versions: []string{"v1"}, Full: state.Full,
		FloorRank: state.FloorRank, WorkTokens: state.Work, WorkByRank: state.WorkByRank, Queued: uint32(state.Queued)}
}

func (l *queueLane) Loads(context.Context, *lanepb.LoadRequest) (*lanepb.LoadResponse, error) {
	return &lanepb.LoadResponse{Loads: []*lanepb.Load{l.loadReport()}}, nil
}

func (l *queueLane) Reserve(_ context.Context, r *lanepb.ReserveRequest) (*lanepb.ReserveResponse, error) {
	time.Sleep(l.delay())
	now := time.Now()
	request := admission.Request{ID: r.GetDispatchId(), Account: r.GetAccount(), Rank: r.GetTierRank(),
		Deadline: now.Add(time.Hour), PromptTokens: 1, OutputTokens: 1}
	ticket := l.queue.NewTicket(now, request)
	l.mu.Lock()
	l.tickets[r.GetDispatchId()] = ticket
	l.queued[r.GetDispatchId()] = queuedTicket{rank: r.GetTierRank(), since: now}
	l.mu.Unlock()
	l.queue.Submit(now, ticket)
	<-ticket.Decided()
	l.mu.Lock()
	delete(l.queued, r.GetDispatchId())
	l.mu.Unlock()
	load := l.loadReport()
	time.Sleep(l.delay())
	if ticket.Refusal() != nil {
		refusal := &lanepb.Refusal{Reason: lanepb.RefusalReason_REFUSAL_REASON_SHED}
		return &lanepb.ReserveResponse{Result: &lanepb.ReserveResponse_Refusal{Refusal: refusal}, Load: load}, nil
	}
	grant := &lanepb.Grant{DispatchId: r.GetDispatchId(), BootId: "b"}
	return &lanepb.ReserveResponse{Result: &lanepb.ReserveResponse_Grant{Grant: grant}, Load: load}, nil
}

func (l *queueLane) serve(w http.ResponseWriter, r *http.Request) {
	header, _ := frame.ReadHeader(bufio.NewReader(r.Body))
	l.mu.Lock()
	ticket := l.tickets[header.GetDispatchId()]
	l.mu.Unlock()
	l.queue.Start(time.Now(), ticket)
	time.Sleep(l.serviceTime())
	l.queue.Finish(time.Now(), ticket, true, 0)
	frames := answerFrames(200, "application/json", `{}`)
	l.send(w, 0, len(frames), frames)
}

func (l *queueLane) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lanepb.LanePathPrefix, lanepb.NewLaneServer(l))
	mux.HandleFunc("POST "+dispatchPath, l.serve)
	return transport.RequireKey(testPeerKey, mux)
}

// hasQueuedLowerTier reports whether a ticket of a lower tier has been waiting since before the
// given time.
func (l *queueLane) hasQueuedLowerTier(rank uint32, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ticket := range l.queued {
		if ticket.rank > rank && ticket.since.Before(since) {
			return true
		}
	}
	return false
}

// delayedFloors forwards the floors of one entry to the others after a delay.
type delayedFloors struct {
	*localFloors
	others []*localFloors
	delay  time.Duration
}

func (f *delayedFloors) AnnounceFloor(pool string, rank uint32, valid time.Duration) {
	f.localFloors.AnnounceFloor(pool, rank, valid)
	time.AfterFunc(f.delay, func() {
		for _, other := range f.others {
			other.AnnounceFloor(pool, rank, valid-f.delay)
		}
	})
}

// fiveTiers returns a configuration with an account that may use five tiers.
func fiveTiers() *configpb.State {
	state := testState()
	state.Accounts["depot"].Tiers = nil
	for rank := range uint32(5) {
		name := fmt.Sprint("t", rank)
		state.Tiers[name] = &configpb.Tier{Name: name, Rank: rank, DefaultTimeoutMs: 30_000}
		state.Accounts["depot"].Tiers = append(state.Accounts["depot"].Tiers, name)
	}
	return state
}

// shedCell is a pool of queueLanes served by several entries.
type shedCell struct {
	lanes   []*queueLane
	client  *http.Client
	entries int
}

func newShedCell(t *testing.T, entries, lanes int, random func(int) int) *shedCell {
	network := newTestNetwork()
	holder := &config.Holder{}
	holder.Set(fiveTiers())
	cell := &shedCell{entries: entries}
	var list fixedList
	serviceTime := func() time.Duration { return time.Duration(20+random(100)) * time.Millisecond }
	delay := func() time.Duration { return time.Duration(random(4)) * time.Millisecond }
	for i := range lanes {
		lane := newQueueLane(fmt.Sprint("e", i), 2, 4, serviceTime, delay)
		address := fmt.Sprintf("sidecar-%d:1", i)
		startServer(t, transport.NewInternalServer(lane.handler()), network.listen(address))
		cell.lanes = append(cell.lanes, lane)
		list = append(list, platform.Instance{ID: fmt.Sprint("i", i), Role: platform.RoleSidecar, Address: address, State: platform.InstanceLive,
			BackendServers: []platform.BackendServer{{ID: lane.id, Kind: "engine", Pool: "model"}}})
	}
	floors := make([]*localFloors, entries)
	for i := range floors {
		floors[i] = newLocalFloors()
	}
	for i := range entries {
		client := transport.NewClient(testPeerKey, network.dial)
		e, err := New(Options{ID: fmt.Sprint("entry", i), Config: holder, Instances: list, Client: client, Seed: uint64(i + 1),
			Logger: zerolog.Nop(), Floors: &delayedFloors{localFloors: floors[i], others: floors, delay: 40 * time.Millisecond}})
		qt.Assert(t, err, qt.IsNil)
		e.readInstances(t.Context())
		mux := http.NewServeMux()
		e.Register(mux)
		startServer(t, transport.NewPublicServer(mux), network.listen(fmt.Sprintf("entry%d:80", i)))
		t.Cleanup(client.CloseIdleConnections)
	}
	cell.client = &http.Client{Transport: &http.Transport{DialContext: network.dial}}
	t.Cleanup(cell.client.CloseIdleConnections)
	return cell
}

// send makes one request of a rank and returns the kind of its problem, or "" if it was answered.
func (c *shedCell) send(entry int, rank uint32) string {
	r, _ := http.NewRequestWithContext(context.Background(), "POST", fmt.Sprintf("http://entry%d:80%s", entry, chatPath), strings.NewReader(chatBody))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(headerTier, fmt.Sprint("t", rank))
	response, err := c.client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return ""
	}
	var body [512]byte
	n, _ := response.Body.Read(body[:])
	if strings.Contains(string(body[:n]), string(KindShed)) {
		return string(KindShed)
	}
	return string(body[:n])
}

// TestHigherTierIsNeverShedFirst guards against shedding a request while a lower tier is queued.
// It sends random bursts of five tiers through three entries whose information about the queues
// and about each other's floors is delayed. When a request is shed, no queue of the pool may
// contain a lower tier that was waiting before the request arrived, minus the time for which a
// load report is considered current.
func TestHigherTierIsNeverShedFirst(t *testing.T) {
	const arrivals = 250
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) { runTierBursts(t, seed, arrivals) })
		})
	}
}

// runTierBursts sends the arrivals of one seed and checks for violations.
func runTierBursts(t *testing.T, seed uint64, arrivals int) {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, 2))
	random := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	cell := newShedCell(t, 3, 4, random)
	var running sync.WaitGroup
	var shed, sent [5]int
	var violations []string
	for range arrivals {
		entry, rank := random(cell.entries), uint32(random(5))
		running.Go(func() {
			arrived := time.Now()
			kind := cell.send(entry, rank)
			lowerTierQueued := false
			for _, lane := range cell.lanes {
				lowerTierQueued = lowerTierQueued || lane.hasQueuedLowerTier(rank, arrived.Add(-20*time.Millisecond))
			}
			mu.Lock()
			defer mu.Unlock()
			sent[rank]++
			if kind != "" && kind != string(KindShed) {
				violations = append(violations, kind)
			}
			if kind == string(KindShed) {
				shed[rank]++
			}
			if kind == string(KindShed) && lowerTierQueued {
				violations = append(violations, fmt.Sprintf("rank %d was shed while a lower one was queued", rank))
			}
		})
		time.Sleep(time.Duration(random(8)) * time.Millisecond)
	}
	running.Wait()
	t.Logf("sent by rank %v, shed by rank %v", sent, shed)
	qt.Assert(t, violations, qt.HasLen, 0)
	qt.Assert(t, shed[4] > 0, qt.IsTrue)
}

// TestLowerTiersAreHeldOutAfterShedding verifies that after a pool has shed a tier, the entry
// refuses the tiers below it without contacting a sidecar, until the floor expires.
func TestLowerTiersAreHeldOutAfterShedding(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("e1")
		lane.refusal = &lanepb.Refusal{Reason: lanepb.RefusalReason_REFUSAL_REASON_SHED}
		cell := newTestCell(t, nil, lane)
		cell.holder.Set(fiveTiers())
		send := func(tier string) {
			r := cell.request(t, "POST", chatPath, chatBody)
			r.Header.Set(headerTier, tier)
			response, body, err := cell.do(t, r)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, decodeProblem(t, response, body).Type, qt.Equals, problemTypePrefix+string(KindShed))
		}
		send("t2")
		qt.Assert(t, lane.reserves, qt.HasLen, 1)
		send("t3")
		qt.Assert(t, lane.reserves, qt.HasLen, 1)
		send("t1")
		qt.Assert(t, lane.reserves, qt.HasLen, 2)
		time.Sleep(floorValidity + time.Millisecond)
		send("t3")
		qt.Assert(t, lane.reserves, qt.HasLen, 3)
	})
}
