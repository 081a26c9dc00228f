package slots

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

const (
	// probeInterval is the time between two looks at the engine beside the sidecar.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds one look: the engine is on the same machine.
	probeTimeout = 300 * time.Millisecond
	// maxProbeFailures in a row mean that the engine is gone.
	maxProbeFailures = 2
	// tickInterval is the time between two looks at what has expired in the queue.
	tickInterval = 20 * time.Millisecond
)

// EngineState is what the engine says of itself.
type EngineState struct {
	Running int
	Waiting int
	// MemoryTokens is the engine's memory for prompts and answers.
	MemoryTokens int
}

// Probe asks the engine beside the sidecar for its state.
type Probe func(ctx context.Context) (EngineState, error)

// ServerOptions configure a Server.
type ServerOptions struct {
	Queue  *admission.SlotQueue
	Probe  Probe
	Logger zerolog.Logger
}

// Server hands out the slots of one engine.
type Server struct {
	queue  *admission.SlotQueue
	probe  Probe
	logger zerolog.Logger

	mu       sync.Mutex
	failures int
}

// NewServer returns a server that takes its engine to be up.
func NewServer(options ServerOptions) *Server {
	return &Server{queue: options.Queue, probe: options.Probe, logger: options.Logger}
}

// Run watches the engine and the queue until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	tick, probe := time.NewTicker(tickInterval), time.NewTicker(probeInterval)
	defer tick.Stop()
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			s.queue.Tick(now)
		case <-probe.C:
			s.look(ctx)
		}
	}
}

// look compares the engine's own count with the slots that are handed out.
func (s *Server) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := s.probe(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failures++
		if s.failures == maxProbeFailures {
			s.logger.Warn().Str("dependency", "engine").Err(err).Msg("dependency lost")
			s.queue.RefuseAll(time.Now(), admission.ReasonUnhealthy, false)
		}
		return
	}
	if s.failures >= maxProbeFailures {
		s.logger.Info().Str("dependency", "engine").Msg("dependency regained")
	}
	s.failures = 0
	now := time.Now()
	s.queue.SetCapacity(now, 0, state.MemoryTokens)
	s.queue.Report(now, state.Running+state.Waiting)
}

func (s *Server) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures < maxProbeFailures
}

// ServeHTTP queues a request for a slot, says when it is granted or refused, and
// holds the slot until the stream ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var ask Ask
	lines := json.NewDecoder(r.Body)
	if err := lines.Decode(&ask); err != nil {
		http.Error(w, "the request for a slot can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	if !s.healthy() {
		s.reply(w, ask, decision{Reason: admission.ReasonUnhealthy.String(), Load: s.queue.Load()}, 0)
		return
	}
	s.queue.SetCapacity(now, ask.Slots, ask.MemoryTokens)
	ticket := s.queue.Submit(now, ask.request(now))
	if !s.await(w, r, ticket) {
		s.queue.Withdraw(time.Now(), ticket)
		return
	}
	refusal := ticket.Refusal()
	if refusal != nil {
		s.reply(w, ask, decision{
			Reason: refusal.Reason.String(), RetryAfterMS: refusal.RetryAfter.Milliseconds(), Load: s.queue.Load(),
		}, time.Since(now))
		return
	}
	s.reply(w, ask, decision{Granted: true, Load: s.queue.Load()}, time.Since(now))
	var seen result
	if err := lines.Decode(&seen); err != nil {
		// The entry withdrew or is gone: nothing is known of its request.
		s.queue.Withdraw(time.Now(), ticket)
		return
	}
	s.queue.Finish(time.Now(), ticket, admission.Outcome{
		Sent:         seen.Sent,
		Failed:       seen.Failed,
		FirstToken:   time.Duration(seen.FirstTokenUS) * time.Microsecond,
		OutputTokens: seen.OutputTokens,
	})
}

// await waits for the decision on a ticket. An entry whose ticket has to wait is
// told so at once, so that it can tell a full queue from a dead sidecar.
func (s *Server) await(w http.ResponseWriter, r *http.Request, ticket *admission.SlotTicket) bool {
	select {
	case <-ticket.Decided():
		return true
	default:
	}
	s.head(w)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	select {
	case <-ticket.Decided():
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) head(w http.ResponseWriter) {
	load, err := json.Marshal(s.queue.Load())
	if err != nil {
		s.logger.Error().Err(err).Msg("the load can't be encoded")
		return
	}
	w.Header().Set(loadHeader, string(load))
}

func (s *Server) reply(w http.ResponseWriter, ask Ask, d decision, waited time.Duration) {
	outcome := "granted"
	if !d.Granted {
		outcome = d.Reason
	}
	s.logger.Info().Str("request_id", ask.RequestID).Uint32("rank", ask.Rank).Int64("objective_ms", ask.ObjectiveMS).
		Int("running", d.Load.Running).Int("slots", d.Load.Slots).Dur("waited_ms", waited).Str("outcome", outcome).Msg("slot")
	if err := json.NewEncoder(w).Encode(d); err != nil {
		s.logger.Debug().Str("request_id", ask.RequestID).Err(err).Msg("the entry left before the decision")
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		s.logger.Debug().Str("request_id", ask.RequestID).Err(err).Msg("the entry left before the decision")
	}
}

// Drain refuses all waiting and later requests for slots.
func (s *Server) Drain() { s.queue.Drain(time.Now()) }

func (a *Ask) request(now time.Time) admission.Request {
	r := admission.Request{
		ID:           a.RequestID,
		Account:      a.Account,
		Rank:         a.Rank,
		Deadline:     now.Add(time.Duration(a.BudgetMS) * time.Millisecond),
		PromptTokens: uint32(max(a.PromptTokens, 0)),
		OutputTokens: uint32(max(a.OutputTokens, 0)),
		LateHold:     time.Duration(a.LateHoldMS) * time.Millisecond,
	}
	if a.HasObjective {
		r.Objective = now.Add(time.Duration(a.ObjectiveMS) * time.Millisecond)
	}
	return r
}
