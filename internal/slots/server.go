package slots

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

const (
	// probeInterval is the time between probes of the engine next to the sidecar.
	probeInterval = 200 * time.Millisecond
	// probeTimeout limits one probe; the engine is on the same machine.
	probeTimeout = 300 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which the engine is
	// considered down.
	maxProbeFailures = 2
	// unaccountedMaxAge is how long an entry's number of unaccounted requests is used without an
	// update. Entries with tickets send one with every ping.
	unaccountedMaxAge = 3 * pingInterval
	// queueTickInterval is the time between checks for expired tickets in the queue.
	queueTickInterval = 20 * time.Millisecond
)

// EngineState is the state that an engine reports.
type EngineState struct {
	Running int
	Waiting int
	// MemoryTokens is the engine's memory for prompts and answers, in tokens.
	MemoryTokens int
	// Notice is what the engine asks of its callers, as far as it could be decoded; NoticeError is why
	// it couldn't, or nil. If it asks for a pause, the other fields are unset.
	Notice      backpressure.Notice
	NoticeError error
}

// Probe requests the state of the engine next to the sidecar.
type Probe func(ctx context.Context) (EngineState, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	Queue *admission.SlotQueue
	// Probe may be nil if there is no way to ask the engine often. The requests at the engine that
	// hold no slot of the queue are then estimated from what the entries report.
	Probe Probe
	// Refuse returns why this process currently grants no slots of the engine, or "". It may be
	// nil.
	Refuse func() string
	// RateShare returns the share of the engine's rate limit that this process may use. If nil, it is
	// the whole limit.
	RateShare func() float64
	Logger    zerolog.Logger
	// Limiter limits the rate of log lines about connections; may be nil.
	Limiter *telemetry.Limiter
}

// Server grants the slots of one engine.
type Server struct {
	queue     *admission.SlotQueue
	probe     Probe
	refuse    func() string
	rateShare func() float64
	logger    zerolog.Logger
	// limitedLogger is the rate-limited logger for lines that a fault can repeat.
	limitedLogger zerolog.Logger

	mu            sync.Mutex
	probeFailures int
	// conns holds the connections of entries.
	conns map[*serverConn]struct{}
	// closed is set by Close.
	closed bool
	// engine is the incarnation of the engine, and rateLimit its rate limit, as entries and probes have
	// last reported.
	engine    fleet.Incarnation
	rateLimit backpressure.RateLimit
	// coldRate is the rate that the engine tolerates until coldUntil, in requests a second.
	coldRate  float64
	coldUntil time.Time
	// lastProbe is when the engine was last probed.
	lastProbe time.Time
	// probesPausedUntil is when the engine accepts probes again.
	probesPausedUntil time.Time
}

// NewServer returns a server that initially assumes that its engine is healthy.
func NewServer(options ServerOptions) *Server {
	return &Server{
		queue: options.Queue, probe: options.Probe, refuse: options.Refuse, rateShare: options.RateShare, logger: options.Logger, conns: map[*serverConn]struct{}{},
		limitedLogger: options.Limiter.Logger(options.Logger, "slot connection"),
	}
}

// Run probes the engine and expires queued tickets until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	tick, probe := time.NewTicker(queueTickInterval), time.NewTicker(probeInterval)
	defer tick.Stop()
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			s.queue.Tick(now)
		case now := <-probe.C:
			s.updateEngineState(ctx, now)
		}
	}
}

func (s *Server) updateEngineState(ctx context.Context, now time.Time) {
	if s.mayProbe(now) {
		s.probeEngine(ctx)
	}
	s.applyUnaccounted(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRateLimit(now)
}

// applyUnaccounted updates the queue with the requests that hold no slot of it, if the engine can't
// be asked for them often.
func (s *Server) applyUnaccounted(now time.Time) {
	if s.probe == nil || s.probesRarely() {
		s.queue.SetExternalRequests(now, s.unaccounted(now))
	}
}

// unaccounted returns the number of requests that run at the engine without a slot of the queue,
// as reported by the connected entries.
func (s *Server) unaccounted(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for conn := range s.conns {
		total += conn.unaccountedRequests(now)
	}
	return total
}

// probeEngine updates the queue with the engine's own state, and refuses all tickets if the
// engine is down.
func (s *Server) probeEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	state, err := s.probe(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.probeFailures++
		if s.probeFailures == maxProbeFailures {
			s.logger.Warn().Str("dependency", "engine").Err(err).Msg("dependency lost")
			s.queue.RefuseAll(time.Now(), admission.ReasonUnhealthy, false)
		}
		return
	}
	if s.probeFailures >= maxProbeFailures {
		s.logger.Info().Str("dependency", "engine").Msg("dependency regained")
	}
	s.probeFailures = 0
	now := time.Now()
	s.recordProbe(now, state)
	if state.Notice.Pause > 0 {
		s.probesPausedUntil = now.Add(min(state.Notice.Pause, backpressure.MaxPause))
		return
	}
	s.queue.SetCapacity(now, 0, state.MemoryTokens)
	s.queue.SetReportedRequests(now, state.Running+state.Waiting)
}

// refusalReason returns why no slots are granted at present, or "".
func (s *Server) refusalReason() string {
	if s.refuse != nil {
		if reason := s.refuse(); reason != "" {
			return reason
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeFailures >= maxProbeFailures {
		return admission.ReasonUnhealthy.String()
	}
	return ""
}

// ServeHTTP takes over the connection of an entry and handles its tickets. The slots of the
// entry are freed when the connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.EqualFold(r.Header.Get("Upgrade"), Protocol) {
		w.Header().Set("Upgrade", Protocol)
		http.Error(w, "this path speaks "+Protocol, http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.limitedLogger.Error().Str("entry", r.RemoteAddr).Err(err).Str("outcome", "not taken over").Msg("slot connection")
		return
	}
	if err := acceptUpgrade(conn, buffered.Writer); err != nil {
		s.limitedLogger.Info().Str("entry", r.RemoteAddr).Err(err).Str("outcome", "left before its first ticket").Msg("slot connection")
		_ = conn.Close()
		return
	}
	entry := &serverConn{server: s, conn: newMessageConn(conn, buffered.Reader), tickets: map[uint64]serverTicket{}}
	if !s.addConn(entry) {
		entry.conn.close(errors.WithStack(&ClosedError{}))
		return
	}
	entry.setServing(false)
	entry.logLost(r.RemoteAddr, entry.readLoop())
	s.removeConn(entry)
	entry.withdrawAll()
}

// addConn reports false if the server is closed.
func (s *Server) addConn(conn *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) removeConn(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the connections of all entries, and later ones at once. Granted slots are freed;
// their requests continue at the engine.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.conn.close(errors.WithStack(&ClosedError{}))
	}
}

// Connections returns the number of connected entries.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// acceptUpgrade sends the answer to an upgrade.
func acceptUpgrade(conn net.Conn, w *bufio.Writer) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "deadline")
	}
	_, err := w.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n")
	if err != nil {
		return errors.Wrap(err, "write the upgrade answer")
	}
	return errors.Wrap(w.Flush(), "write the upgrade answer")
}

func (s *Server) logTicket(request *Request, outcome string, load admission.SlotLoad, waited time.Duration, limit *backpressure.LimitReport) {
	event := s.logger.Info().Str("request_id", request.RequestID).Uint32("rank", request.Rank).Int64("objective_ms", request.ObjectiveMS).
		Int("running", load.Running).Int("slots", load.Slots).Dur("waited_ms", waited)
	if limit != nil {
		event.Float64("rate_limit", limit.PerSecond).Int64("rate_limit_age_ms", limit.AgeMS).Str("told", limit.By)
	}
	event.Str("outcome", outcome).Msg("slot")
}

// Drain refuses all waiting and later requests for slots.
func (s *Server) Drain() { s.queue.Drain(time.Now()) }
