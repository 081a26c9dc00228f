// Package engine is a stand-in for a model engine. It models what scheduling
// depends on: continuous batching, prefill cost for each prompt token that is
// not cached, an inter-token time that grows with the batch, a limited prefix
// cache, admission on arrival without priorities, a lagging load report, resume
// and cancel, slow loads, orders with fencing numbers, and bad versions.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Cost of the work of an engine of speed 1.
const (
	// StepBase is the time of an iteration with an empty batch.
	StepBase = 12 * time.Millisecond
	// StepPerSequence is added for each sequence that decodes in the iteration.
	StepPerSequence = 600 * time.Microsecond
	// PrefillPerToken is added for each prompt token that is computed in the iteration.
	PrefillPerToken = 125 * time.Microsecond
	// PrefillChunk is the largest number of prompt tokens of an iteration.
	PrefillChunk = 512
)

// Defaults of options.
const (
	defaultMaxBatch     = 32
	defaultCacheBlocks  = 4096
	defaultMaxVersions  = 3
	defaultResumeWindow = 30 * time.Second
	defaultOrphanTime   = 5 * time.Second
)

// Options of an engine.
type Options struct {
	ID string
	// Speed divides all costs. Default 1.
	Speed float64
	// Versions that are loaded from the start.
	Versions []string
	// MaxVersions is how many versions fit in memory. Default 3.
	MaxVersions int
	// MaxBatch is the number of sequences that run at once; others wait in order of arrival. Default 32.
	MaxBatch int
	// CacheBlocks is the size of the prefix cache in blocks of BlockTokens tokens. Default 4096.
	CacheBlocks int
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// CheckFencing refuses orders with an older fencing number.
	CheckFencing bool
	// Weights is the URL of the weight store; empty: versions load at once.
	Weights string
	// Client reaches the weight store. Default http.DefaultClient.
	Client *http.Client
	// TokensPerEvent is the number of tokens in one SSE event. Default 1.
	TokensPerEvent int
	// OrphanTime is how long a call goes on without a reader. Default 5s.
	OrphanTime time.Duration
	// Index is shared by the engines of one cell, to tell what others have cached; may be nil.
	Index *PrefixIndex
	// Observe is given a record of each call that ends; may be nil. It must not call the engine.
	Observe func(Record)
}

// Record tells what the work of one call was.
type Record struct {
	// User is the field "user" of the request.
	User string
	// Finished is true for a whole answer.
	Finished bool
	// PrefillTokens were computed for the call.
	PrefillTokens int
	// RepeatedTokens of these were cached by another engine when the call began;
	// FirstCopyTokens of these this engine had never computed before.
	RepeatedTokens  int
	FirstCopyTokens int
	// BeganAt is when the engine was given the call.
	BeganAt      time.Time
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

// Engine is the model engine. It is a http.Handler; Run must be running too.
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

// Stats counts the work of an engine since its start.
type Stats struct {
	// PrefillTokens were computed, cached ones not counted.
	PrefillTokens uint64 `json:"prefill_tokens"`
	// WastedPrefillTokens were computed for calls that were cancelled or failed.
	WastedPrefillTokens uint64 `json:"wasted_prefill_tokens"`
	CachedTokens        uint64 `json:"cached_tokens"`
	OutputTokens        uint64 `json:"output_tokens"`
	Calls               uint64 `json:"calls"`
	Cancelled           uint64 `json:"cancelled"`
	Finished            uint64 `json:"finished"`
	// BusyMS is the time spent in iterations, in milliseconds.
	BusyMS int64 `json:"busy_ms"`
}

// New returns an engine that is idle.
func New(options Options) *Engine {
	options.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		options: options, mux: http.NewServeMux(), wake: make(chan struct{}, 1), ctx: ctx, stop: stop,
		versions: slices.Clone(options.Versions), calls: map[string]*call{},
		cache: newPrefixCache(options.CacheBlocks, options.Index), orderStatuses: map[string]platform.OrderStatus{},
		runsByCallID: map[string]int{}, runsByUser: map[string]int{},
	}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("GET /v1/calls/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/calls/{id}", e.cancel)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /runs", e.showRuns)
	e.mux.HandleFunc("GET /users", e.showUsers)
	e.mux.HandleFunc("GET /stats", e.showStats)
	e.mux.HandleFunc("POST /control", e.control)
	return e
}

// ServeHTTP serves the protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Run computes until ctx ends, and then waits for the loads in progress to stop.
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

// abortCalls ends all calls without an answer, and forgets the cache.
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

// Runs returns how often each call id was given to the engine.
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

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
