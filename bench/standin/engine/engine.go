// Package engine is a stand-in for a model engine. It models the properties that
// scheduling depends on: continuous batching, a prefill cost for each prompt token
// that is not cached, an inter-token time that grows with the batch, a limited
// prefix cache, first-come first-served admission without priorities, delayed load
// reports, resume and cancel, slow loading of versions, orders with fencing
// numbers, and faulty versions.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Costs of an engine of speed 1.
const (
	// StepBase is the fixed time of an iteration.
	StepBase = 12 * time.Millisecond
	// StepPerSequence is the additional time for each sequence that decodes in an iteration.
	StepPerSequence = 600 * time.Microsecond
	// PrefillPerToken is the additional time for each prompt token computed in an iteration.
	PrefillPerToken = 125 * time.Microsecond
	// PrefillChunk is the maximum number of prompt tokens computed in an iteration.
	PrefillChunk = 512
)

// Defaults of Options.
const (
	defaultMaxBatch     = 32
	defaultCacheBlocks  = 4096
	defaultMaxVersions  = 3
	defaultResumeWindow = 30 * time.Second
	defaultOrphanTime   = 5 * time.Second
)

// Options configure an engine.
type Options struct {
	ID string
	// Speed divides all costs. Default 1.
	Speed float64
	// Versions are loaded at the start.
	Versions []string
	// MaxVersions is the number of versions that fit in memory. Default 3.
	MaxVersions int
	// MaxBatch is the maximum number of concurrent sequences; others wait in order of
	// arrival. Default 32.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens. Default 4096.
	CacheBlocks int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// CheckFencing rejects orders whose fencing number is below the highest one received.
	CheckFencing bool
	// WeightStoreURL is the URL of the weight store. If it is empty, versions load immediately.
	WeightStoreURL string
	// Client sends requests to the weight store. Default http.DefaultClient.
	Client *http.Client
	// TokensPerEvent is the number of tokens in one SSE event. Default 1.
	TokensPerEvent int
	// OrphanTime is how long a call without a reader runs before it is cancelled. Default 5s.
	OrphanTime time.Duration
	// PrefixIndex records the cached blocks of all engines of a cell, which share it. It may be nil.
	PrefixIndex *PrefixIndex
	// OnCallEnd is called with a record of each ended call. It runs under the engine's
	// lock and must not call the engine. It may be nil.
	OnCallEnd func(Record)
}

// Record describes the work that an engine did for one call.
type Record struct {
	// User is the field "user" of the request.
	User string
	// Finished is true if the answer is complete.
	Finished bool
	// PrefillTokens is the number of prompt tokens that were computed.
	PrefillTokens int
	// RepeatedTokens counts the computed prompt tokens that another engine had cached
	// when the call was admitted. FirstCopyTokens counts those among them that this
	// engine had never cached before.
	RepeatedTokens  int
	FirstCopyTokens int
	// ReceivedAt is when the engine received the call.
	ReceivedAt   time.Time
	CachedTokens int
	OutputTokens int
}

func (o *Options) setDefaults() {
	setDefault(&o.Speed, 1)
	setDefault(&o.MaxVersions, defaultMaxVersions)
	setDefault(&o.MaxBatch, defaultMaxBatch)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.TokensPerEvent, 1)
	setDefault(&o.OrphanTime, defaultOrphanTime)
	if o.Client == nil {
		o.Client = http.DefaultClient
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine simulates a model engine. It implements http.Handler; calls only progress
// while Run is running.
type Engine struct {
	options Options
	mux     *http.ServeMux
	wake    chan struct{}
	loads   sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context

	mu             sync.Mutex
	versions       []string
	calls          map[string]*call
	running        []*call
	waiting        []*call
	cache          *prefixCache
	reports        []loadReport
	orderStatuses  map[string]platform.OrderStatus
	highestFencing uint64
	switches       Switches
	switchesSetAt  time.Time
	runsByCallID   map[string]int
	runsByUser     map[string]int
	stats          Stats
}

// Stats holds the counters of an engine since its start.
type Stats struct {
	// PrefillTokens counts computed prompt tokens, without cached ones.
	PrefillTokens uint64 `json:"prefill_tokens"`
	// WastedPrefillTokens counts prompt tokens computed for calls that were cancelled.
	WastedPrefillTokens uint64 `json:"wasted_prefill_tokens"`
	CachedTokens        uint64 `json:"cached_tokens"`
	OutputTokens        uint64 `json:"output_tokens"`
	Calls               uint64 `json:"calls"`
	Cancelled           uint64 `json:"cancelled"`
	Finished            uint64 `json:"finished"`
	// BusyMS is the total duration of all iterations, in milliseconds.
	BusyMS int64 `json:"busy_ms"`
}

// New returns an idle engine.
func New(options Options) *Engine {
	options.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: options, mux: http.NewServeMux(), wake: make(chan struct{}, 1), ctx: ctx, stop: stop,
		versions: slices.Clone(options.Versions), calls: map[string]*call{},
		cache: newPrefixCache(options.CacheBlocks, options.PrefixIndex), orderStatuses: map[string]platform.OrderStatus{},
		runsByCallID: map[string]int{}, runsByUser: map[string]int{},
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/calls/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/calls/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /runs", e.handleRuns)
	e.mux.HandleFunc("GET /users", e.handleUsers)
	e.mux.HandleFunc("GET /stats", e.handleStats)
	e.mux.HandleFunc("POST /control", e.control)
	return e
}

// ServeHTTP serves the engine's HTTP API.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Run executes iterations until ctx is done. It then aborts all calls and waits
// for the version loads in progress to stop.
func (e *Engine) Run(ctx context.Context) {
	defer e.loads.Wait()
	defer e.stop()
	defer e.abortCalls()
	for {
		duration := e.planIteration()
		if duration > 0 {
			if !sleep(ctx, duration) {
				return
			}
			e.finishIteration(duration)
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// abortCalls cuts off the output of all active calls and clears the cache.
func (e *Engine) abortCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.calls {
		if c.end(callBroken, nil) {
			e.reportEndedCall(c)
		}
	}
	e.cache.clear()
}

// sleep waits for a duration and reports whether it elapsed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Runs returns the number of times that the engine received each call id.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runsByCallID))
	for id, n := range e.runsByCallID {
		runs[id] = n
	}
	return runs
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// wakeLoop wakes Run if it waits for calls.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
