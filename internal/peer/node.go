// Package peer owns the soft state that processes exchange: containments,
// floors of tiers, use of client accounts' limits, evidence, and records of the
// configuration stream for those that are cut off from the log. It never
// decides what is contained or shed; it only spreads it.
package peer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// RecordSource holds the records of the configuration stream of this process.
type RecordSource interface {
	// Records answers a pull: the records from an offset on, or the state when
	// those records are no longer held.
	Records(from uint64, limit int) *lanepb.PullResponse
	// Observe says that a peer has applied an offset.
	Observe(offset uint64)
}

// Options configure a Node. ID, Address, Client, PeerURL, Peers, Records and Config are required.
type Options struct {
	ID string
	// Address is the ip:port under which this process serves Peer.
	Address string
	BootID  string
	// Client authenticates this process to its peers.
	Client *http.Client
	// PeerURL returns the base URL of the process at an address.
	PeerURL func(address string) string
	// Peers returns the addresses of the other processes.
	Peers func() []string
	// Sharers returns the addresses of the processes that share evidence and
	// account use, this one included. Default: Peers and this process.
	Sharers func() []string
	Records RecordSource
	Config  config.View
	// Collector takes the evidence of peers and gives that of this process.
	// Nil: this process shares none.
	Collector *health.Collector
	Logger    zerolog.Logger
	Meter     metric.Meter
	// Period is the mean time between two exchanges of sums with the parent in the
	// tree. Other neighbours are called every second period. Default: 1 s.
	Period time.Duration
	// Timeout bounds one exchange. Default: 1 s.
	Timeout time.Duration
}

// Defaults and limits of the exchange.
const (
	DefaultPeriod  = time.Second
	DefaultTimeout = time.Second
	// periodJitter is the part of a period by which exchanges are spread.
	periodJitter = 0.25
	// nonParentPeriods is the number of periods between two exchanges that carry no sums.
	nonParentPeriods = 2
	// smallGroupSize is the number of sharers up to which sums are exchanged
	// smallGroupSpeedup times as often while a move is under way.
	smallGroupSize    = 4
	smallGroupSpeedup = 2
	// minExchangeInterval is the shortest time between two exchanges with one neighbour.
	minExchangeInterval = 20 * time.Millisecond
	// minAlarmInterval is the shortest time between two early exchanges of sums.
	minAlarmInterval = 250 * time.Millisecond
	// neighbourRefreshInterval is the time between two looks at the list of peers.
	neighbourRefreshInterval = time.Second
	// maxPullRecords bounds one answer to Pull.
	maxPullRecords = 256
	// maxContainmentNotices and maxFloorNotices bound what one message carries.
	maxContainmentNotices = 64
	maxFloorNotices       = 32
)

// Node is this process's part in the exchange. It implements lanepb.Peer.
type Node struct {
	options Options
	metrics metrics

	mu               sync.Mutex
	containments     map[containmentKey]*lanepb.ContainmentNotice
	registrations    registrationCache
	peerFloors       map[string]floor
	localFloors      map[string]floor
	links            map[string]*treeLink
	localUseSource   func() []*lanepb.AccountUse
	activeNeighbours map[string]*neighbour
}

// New returns a Node that exchanges nothing before Run.
func New(options Options) *Node {
	if options.Period <= 0 {
		options.Period = DefaultPeriod
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	return &Node{
		options:          options,
		metrics:          newMetrics(options.Meter),
		containments:     map[containmentKey]*lanepb.ContainmentNotice{},
		peerFloors:       map[string]floor{},
		localFloors:      map[string]floor{},
		links:            map[string]*treeLink{},
		activeNeighbours: map[string]*neighbour{},
	}
}

// Register serves Peer on a mux.
func (n *Node) Register(mux *http.ServeMux) {
	server := lanepb.NewPeerServer(n)
	mux.Handle(server.PathPrefix(), transport.BoundMessages(server))
}

// Run exchanges with the neighbours until ctx ends, and returns its error once
// every exchange has ended.
func (n *Node) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	defer workers.Wait()
	defer n.stopNeighbours()
	if n.options.Collector != nil {
		workers.Go(func() { n.exchangeOnAlarms(ctx) })
	}
	for {
		n.refresh(ctx, &workers)
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(neighbourRefreshInterval):
		}
	}
}

// Window returns the evidence of this process and of its peers over the last window.
func (n *Node) Window(key health.Key, window time.Duration) *lanepb.Evidence {
	if n.options.Collector == nil {
		return &lanepb.Evidence{Pool: key.Pool, Version: key.Version, Route: key.Route}
	}
	return n.options.Collector.Window(key, window)
}

// Slices returns that evidence in parts of equal length, the oldest first.
func (n *Node) Slices(key health.Key, window time.Duration, parts int) []*lanepb.Evidence {
	if n.options.Collector == nil {
		return nil
	}
	return n.options.Collector.Slices(key, window, parts)
}

// Requests returns the number of requests that the evidence of the last window shows.
func (n *Node) Requests(key health.Key, window time.Duration) uint64 {
	if n.options.Collector == nil {
		return 0
	}
	return n.options.Collector.Requests(key, window)
}

// Rate returns the requests a second that the evidence of the last window shows,
// and whether that evidence is enough.
func (n *Node) Rate(key health.Key, window time.Duration) (perSecond float64, known bool) {
	if n.options.Collector == nil {
		return 0, false
	}
	return n.options.Collector.Rate(key, window)
}

// exchangeOnAlarms makes the exchange of sums happen soon after a failure of a
// version on the move, at most once in minAlarmInterval.
func (n *Node) exchangeOnAlarms(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case key := <-n.options.Collector.Alarms():
			if !movingVersions(n.options.Config.Current())[versionKey(key.Pool, key.Version)] {
				continue
			}
		}
		n.wakeParent()
		select {
		case <-ctx.Done():
			return
		case <-time.After(minAlarmInterval):
		}
	}
}

// wakeParent makes the exchange of sums with the parent happen at once.
func (n *Node) wakeParent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, nb := range n.activeNeighbours {
		if nb.isParent.Load() {
			nb.wake()
		}
	}
}

// refresh starts an exchange with each new neighbour and stops those that left.
func (n *Node) refresh(ctx context.Context, workers *sync.WaitGroup) {
	desired := n.neighbours()
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, nb := range n.activeNeighbours {
		if _, keep := desired[address]; !keep {
			nb.cancel()
			delete(n.activeNeighbours, address)
		}
	}
	for address, isParent := range desired {
		if current, ok := n.activeNeighbours[address]; ok {
			current.isParent.Store(isParent)
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		nb := &neighbour{address: address, cancel: cancel, wakeUp: make(chan struct{}, 1)}
		nb.isParent.Store(isParent)
		nb.client = lanepb.NewPeerProtobufClient(n.options.PeerURL(address), n.options.Client)
		n.activeNeighbours[address] = nb
		workers.Go(func() { n.exchangeLoop(loopCtx, nb) })
	}
}

func (n *Node) stopNeighbours() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, nb := range n.activeNeighbours {
		nb.cancel()
		delete(n.activeNeighbours, address)
	}
}

// exchangeLoop exchanges with one neighbour on a period, and at once when woken.
func (n *Node) exchangeLoop(ctx context.Context, nb *neighbour) {
	// The seed spreads the first exchanges of processes that start together.
	random := rand.New(rand.NewPCG(hashSeed(n.options.Address), hashSeed(nb.address)))
	wait := time.Duration(random.Float64() * float64(n.options.Period))
	for {
		select {
		case <-ctx.Done():
			return
		case <-nb.wakeUp:
		case <-time.After(wait):
		}
		n.exchangeWith(ctx, nb)
		select {
		case <-ctx.Done():
			return
		case <-time.After(minExchangeInterval):
		}
		jitter := 1 + periodJitter*(2*random.Float64()-1)
		wait = time.Duration(jitter * float64(n.exchangePeriod(nb)))
	}
}

// exchangePeriod returns the mean time between two exchanges with a neighbour.
func (n *Node) exchangePeriod(nb *neighbour) time.Duration {
	if !nb.isParent.Load() {
		return nonParentPeriods * n.options.Period
	}
	if len(n.aggregationMembers()) <= smallGroupSize && len(movingVersions(n.options.Config.Current())) > 0 {
		return n.options.Period / smallGroupSpeedup
	}
	return n.options.Period
}

// wakeNeighbours makes every exchange but that with one address happen at once.
func (n *Node) wakeNeighbours(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, nb := range n.activeNeighbours {
		if address != except {
			nb.wake()
		}
	}
}

func hashSeed(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
