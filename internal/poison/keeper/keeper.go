// Package keeper keeps the evidence about prompts that crash engines outside of the processes that collect it, so that
// it outlives them.
package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/poison"
)

const (
	// callTimeout bounds one call to a log.
	callTimeout = time.Second
	// minInterval is the shortest time between two exchanges with a log.
	minInterval = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time before another try; it doubles with each one.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// peerDelay is the time per rank after which evidence of another process is saved that it may not have saved itself,
	// and peerRanks the number of processes that do.
	peerDelay = time.Second
	peerRanks = 3
	// Own evidence is saved at once by the first immediateRanks processes, and ownDelay later per rank by the others, so that
	// many that see crashes at the same moment don't replace each other's records again and again.
	immediateRanks = 8
	ownDelay       = 10 * time.Millisecond
	// isolatedInterval is the time between two exchanges of a process that hears nothing of others.
	isolatedInterval = time.Second
	// rewindDelay is the time per rank after which evidence is saved again that the log may have lost, and
	// maxRewindDelay the longest such time.
	rewindDelay    = 100 * time.Millisecond
	maxRewindDelay = 3 * time.Second
)

// DefaultPatience is how long a process that could serve waits for the evidence of earlier ones.
const DefaultPatience = 2 * time.Second

// Log holds one record, which all processes replace, or several copies of it.
type Log interface {
	// Load returns the newest record, in the copies that there are.
	Load(ctx context.Context) (copies []Copy, position Position, err error)
	// Save replaces the record. It returns *ConflictError if another process has replaced it after the position.
	Save(ctx context.Context, record []byte, position Position) error
}

// Copy is one copy of a record, empty if there is none.
type Copy struct {
	Record []byte
	// Outdated says that Save wouldn't replace the copy.
	Outdated bool
}

// Position is the state of a Log at which a record was the newest.
type Position struct{ Offset, Era uint64 }

// ConflictError reports that another process has replaced the record.
type ConflictError struct{ Cause error }

func (e *ConflictError) Error() string { return "the record has been replaced: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Cause }

// Options configures a Keeper. Tracker, Log, Name and Logger are required.
type Options struct {
	// Name names the log in logs and metrics.
	Name    string
	Tracker *poison.Tracker
	Log     Log
	// Live says that a record is as of the time at which it is loaded or saved.
	Live bool
	// Ready reports whether the log can be used, for which the keeper waits at its start. If nil, it always can.
	Ready func() bool
	// Rank returns the number of live processes before this one. If nil, it is 0.
	Rank func() int
	// Isolated reports whether evidence of other processes may reach this one through the log only. If nil, it never does.
	Isolated func() bool
	// CanServe reports whether the process could serve requests but for the evidence. If nil, it never can.
	CanServe func() bool
	// Patience is how long a process that could serve waits for the log after a first try.
	Patience time.Duration
	Logger   zerolog.Logger
	// Meter may be nil.
	Meter metric.Meter
}

// Keeper exchanges the evidence of one process with a log: once at the start, and whenever the evidence changes.
type Keeper struct {
	options Options
	// own and relayed receive a value when this process, or another one, has found evidence.
	own, relayed chan struct{}
	exchanges    metric.Int64Counter
}

// New returns a Keeper.
func New(options Options) (*Keeper, error) {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	exchanges, err := options.Meter.Int64Counter("lagoonlane_prompt_evidence_exchanges", metric.WithDescription("exchanges of the evidence about prompts with the place where it is kept, by outcome"))
	return &Keeper{options: options, own: make(chan struct{}, 1), relayed: make(chan struct{}, 1), exchanges: exchanges}, errors.WithStack(err)
}

// Request makes the keeper save what the log lacks: at once if this process found it, otherwise if no other one has.
func (k *Keeper) Request(own bool) {
	requests := k.relayed
	if own {
		requests = k.own
	}
	select {
	case requests <- struct{}{}:
	default:
	}
}

// Rewound makes the keeper save again what the log may have lost.
func (k *Keeper) Rewound() {
	time.AfterFunc(min(time.Duration(k.rank())*rewindDelay, maxRewindDelay), func() { k.Request(true) })
}

func (k *Keeper) rank() int {
	if k.options.Rank == nil {
		return 0
	}
	return k.options.Rank()
}

// Run exchanges evidence until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	for k.options.Ready != nil && !k.options.Ready() && ctx.Err() == nil {
		pause(ctx, minRetryDelay)
	}
	delay, isLost, isLoaded, servesSince := minRetryDelay, false, false, time.Time{}
	for ctx.Err() == nil {
		err := k.exchange(ctx)
		if ctx.Err() != nil {
			break
		}
		var conflict *ConflictError
		isConflict := errors.As(err, &conflict)
		if (err == nil || isConflict) && !isLoaded {
			isLoaded = true
			k.options.Tracker.MarkLoaded()
		}
		if isConflict {
			// Another process has replaced the record meanwhile. Of many that save at once, one after the other succeeds.
			pause(ctx, time.Duration(2*rand.Float64()*float64(delay)))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		if isLost != (err != nil) {
			isLost = err != nil
			k.logDependency(err)
		}
		if err == nil {
			delay = minRetryDelay
			k.await(ctx)
			continue
		}
		if servesSince.IsZero() && k.options.CanServe != nil && k.options.CanServe() {
			servesSince = time.Now()
		}
		if !isLoaded && !servesSince.IsZero() && time.Since(servesSince) >= k.options.Patience {
			isLoaded = true
			k.options.Tracker.MarkLoaded()
			k.options.Logger.Warn().Str("log", k.options.Name).Str("outcome", "done without").Msg("evidence about prompts")
		}
		pause(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
	return ctx.Err()
}

func (k *Keeper) logDependency(err error) {
	if err != nil {
		k.options.Logger.Warn().Str("dependency", k.options.Name).Str("for", "evidence about prompts").Err(err).Msg("dependency lost")
		return
	}
	k.options.Logger.Info().Str("dependency", k.options.Name).Str("for", "evidence about prompts").Msg("dependency regained")
}

// await returns when the evidence is to be saved again, or loaded by an isolated process.
func (k *Keeper) await(ctx context.Context) {
	pause(ctx, minInterval)
	ticker := time.NewTicker(isolatedInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			if k.options.Isolated != nil && k.options.Isolated() {
				return
			}
		case <-k.own:
			k.awaitTurn(ctx)
			return
		case <-k.relayed:
			rank := k.rank()
			if rank >= peerRanks {
				continue
			}
			timer := time.NewTimer(time.Duration(rank+1) * peerDelay)
			defer timer.Stop()
			select {
			case <-ctx.Done():
			case <-k.own:
			case <-timer.C:
			}
			return
		}
	}
}

// awaitTurn returns when this process is to save its own evidence. Copies at other processes are merged and need no turns.
func (k *Keeper) awaitTurn(ctx context.Context) {
	if late := k.rank() - immediateRanks; late > 0 && !k.options.Live {
		pause(ctx, time.Duration(late)*ownDelay)
	}
}

// exchange takes over the record of the log, and replaces it if it lacks evidence.
func (k *Keeper) exchange(ctx context.Context) error {
	outcome := "failed"
	defer func() {
		k.exchanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("log", k.options.Name), attribute.String("outcome", outcome)))
	}()
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	copies, position, err := k.options.Log.Load(ctx)
	if err != nil {
		return err
	}
	if !k.restore(copies) {
		outcome = "loaded"
		return nil
	}
	record, err := k.options.Tracker.Record(time.Now())
	if err != nil {
		return err
	}
	if err := k.options.Log.Save(ctx, record, position); err != nil {
		return err
	}
	outcome = "saved"
	k.options.Logger.Info().Str("log", k.options.Name).Int("bytes", len(record)).Int("blocks", k.options.Tracker.Blocks()).Str("outcome", "saved").Msg("evidence about prompts")
	return nil
}

// restore takes over copies of the record, and reports whether they must be replaced.
func (k *Keeper) restore(copies []Copy) (stale bool) {
	if len(copies) == 0 {
		copies = []Copy{{}}
	}
	timeOfDay := time.Now()
	if k.options.Live {
		timeOfDay = time.Time{}
	}
	for _, c := range copies {
		isStale, err := k.options.Tracker.Restore(c.Record, timeOfDay)
		if err != nil {
			k.options.Logger.Error().Str("log", k.options.Name).Err(err).Str("outcome", "ignored").Msg("evidence about prompts")
		}
		stale = stale || isStale && !c.Outdated
	}
	return stale
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
