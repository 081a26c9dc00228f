// Package peer exchanges soft state between processes: containments, tier floors, use of
// client accounts' limits, evidence, and records of the configuration stream for processes
// that can't reach the log. It only distributes containments and floors; the decisions are
// made elsewhere.
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
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// RecordSource holds this process's records of the configuration stream.
type RecordSource interface {
	// Records returns the records from an offset on, or the whole state if those records are
	// no longer held.
	Records(from uint64, limit int) *lanepb.PullResponse
	// ObservePeerOffset reports the offset that a peer has applied.
	ObservePeerOffset(offset uint64)
}

// Options configure a Node. ID, Address, Client, PeerURL, Peers, Records and Config are required.
type Options struct {
	ID string
	// Address is the ip:port at which this process serves the Peer service.
	Address string
	BootID  string
	// Client authenticates this process to its peers.
	Client *http.Client
	// PeerURL returns the base URL of the process at an address.
	PeerURL func(address string) string
	// Peers returns the addresses of the other processes.
	Peers func() []string
	// AggregationMembers returns the addresses of the processes that share evidence and account use,
	// including this process. Default: Peers and this process.
	AggregationMembers func() []string
	Records            RecordSource
	Config             config.View
	// Collector receives evidence from peers and supplies that of this process. If it is
	// nil, this process shares no evidence.
	Collector *health.Collector
	// Poison holds the evidence about prompts that crash engines. If it is nil, this process exchanges none.
	Poison *poison.Tracker
	Logger zerolog.Logger
	Meter  metric.Meter
	// Period is the mean time between two exchanges with the parent in the aggregation tree.
	// Exchanges with other neighbours happen every second period. Default: 1 s.
	Period time.Duration
	// Timeout bounds one exchange. Default: 1 s.
	Timeout time.Duration
}

// Defaults and bounds of the exchange.
const (
	DefaultPeriod  = time.Second
	DefaultTimeout = time.Second
	// periodJitter is the largest relative deviation of a period.
	periodJitter = 0.25
	// nonParentPeriods is the number of periods between exchanges with a neighbour other than the parent.
	nonParentPeriods = 2
	// smallGroupSize is the number of members up to which exchanges with the parent are
	// smallGroupSpeedup times as frequent while a move is in progress.
	smallGroupSize    = 4
	smallGroupSpeedup = 2
	// minExchangeInterval is the shortest time between two exchanges with one neighbour.
	minExchangeInterval = 20 * time.Millisecond
	// minAlarmInterval is the shortest time between two exchanges triggered by alarms.
	minAlarmInterval = 250 * time.Millisecond
	// neighbourRefreshInterval is the time between two evaluations of the peer list.
	neighbourRefreshInterval = time.Second
	// maxPullRecords bounds the records of one Pull response.
	maxPullRecords = 256
	// maxContainmentNotices and maxFloorNotices bound the notices of one message.
	maxContainmentNotices = 64
	maxFloorNotices       = 32
)

// Node exchanges state with the peers of this process. It implements lanepb.Peer.
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

// New returns a Node. It makes no calls until Run.
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

// Register mounts the Peer service on a mux.
func (n *Node) Register(mux *http.ServeMux) {
	server := lanepb.NewPeerServer(n)
	mux.Handle(server.PathPrefix(), transport.LimitMessages(server))
}

// Run exchanges state with the neighbours until ctx is done. It returns the error of ctx after
// all exchanges have ended.
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

// Window returns the combined evidence of this process and its peers over the last window.
func (n *Node) Window(key health.Key, window time.Duration) *lanepb.Evidence {
	if n.options.Collector == nil {
		return &lanepb.Evidence{Pool: key.Pool, Version: key.Version, Route: key.Route}
	}
	return n.options.Collector.Window(key, window)
}

// Slices returns the evidence of the last window split into parts of equal length, oldest first.
func (n *Node) Slices(key health.Key, window time.Duration, parts int) []*lanepb.Evidence {
	if n.options.Collector == nil {
		return nil
	}
	return n.options.Collector.Slices(key, window, parts)
}

// Requests returns the number of requests in the evidence of the last window.
func (n *Node) Requests(key health.Key, window time.Duration) uint64 {
	if n.options.Collector == nil {
		return 0
	}
	return n.options.Collector.Requests(key, window)
}

// Rate returns the request rate per second in the evidence of the last window. known is false
// if there is too little evidence.
func (n *Node) Rate(key health.Key, window time.Duration) (perSecond float64, known bool) {
	if n.options.Collector == nil {
		return 0, false
	}
	return n.options.Collector.Rate(key, window)
}

// exchangeOnAlarms triggers an exchange with the parent after a failure of a version in a move,
// at most once every minAlarmInterval.
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

// wakeParent triggers an immediate exchange with the parent in the aggregation tree.
func (n *Node) wakeParent() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, nb := range n.activeNeighbours {
		if nb.isParent.Load() {
			nb.wake()
		}
	}
}

// refresh starts an exchange loop for each new neighbour and stops those of removed neighbours.
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

// exchangeLoop exchanges state with one neighbour periodically, and immediately when woken.
func (n *Node) exchangeLoop(ctx context.Context, nb *neighbour) {
	// The initial delay depends on both addresses and spreads the first exchanges of processes
	// that start at the same time.
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

// wakeNeighbours triggers an immediate exchange with every neighbour except one address.
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
