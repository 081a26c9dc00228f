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
	"github.com/lagoonlane/lagoonlane/internal/telemetry"
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
	// Limiter bounds the lines about connections; may be nil.
	Limiter *telemetry.Limiter
}

// Server hands out the slots of one engine.
type Server struct {
	queue  *admission.SlotQueue
	probe  Probe
	logger zerolog.Logger
	// lines is the logger for what a fault may repeat.
	lines zerolog.Logger

	mu       sync.Mutex
	failures int
}

// NewServer returns a server that takes its engine to be up.
func NewServer(options ServerOptions) *Server {
	return &Server{
		queue: options.Queue, probe: options.Probe, logger: options.Logger,
		lines: options.Limiter.Logger(options.Logger, "slot connection"),
	}
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

// ServeHTTP takes over the connection of an entry, answers its tickets, and holds its
// slots until the connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.EqualFold(r.Header.Get("Upgrade"), upgradeProtocol) {
		w.Header().Set("Upgrade", upgradeProtocol)
		http.Error(w, "this path speaks "+upgradeProtocol, http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.lines.Error().Str("entry", r.RemoteAddr).Err(err).Str("outcome", "not taken over").Msg("slot connection")
		return
	}
	if err := accept(conn, buffered.Writer); err != nil {
		s.lines.Info().Str("entry", r.RemoteAddr).Err(err).Str("outcome", "left before its first ticket").Msg("slot connection")
		_ = conn.Close()
		return
	}
	one := &serverLink{server: s, link: newLink(conn, buffered.Reader), tickets: map[uint64]serverTicket{}}
	one.lost(r.RemoteAddr, one.serve())
	one.end()
}

// accept answers an upgrade.
func accept(conn net.Conn, w *bufio.Writer) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "deadline")
	}
	_, err := w.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n\r\n")
	if err != nil {
		return errors.Wrap(err, "upgrade answer")
	}
	return errors.Wrap(w.Flush(), "upgrade answer")
}

// serverLink is a sidecar's side of a connection.
type serverLink struct {
	server *Server
	link   *link

	mu sync.Mutex
	// tickets holds what waits or has a slot.
	tickets map[uint64]serverTicket
}

// serverTicket is a place in the queue, then a slot, of a request.
type serverTicket struct {
	request string
	slot    *admission.SlotTicket
}

// lost writes a line for a connection that ended with tickets open: nothing is known of
// these requests, unless their entry tells.
func (l *serverLink) lost(peer string, cause error) {
	l.link.end(cause)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tickets) == 0 {
		return
	}
	var named []string
	granted := 0
	for _, ticket := range l.tickets {
		if len(named) < maxNamedRequests {
			named = append(named, ticket.request)
		}
		if ticket.granted() {
			granted++
		}
	}
	l.server.lines.Warn().Str("entry", peer).Int("tickets", len(l.tickets)).Int("granted", granted).Strs("request_ids", named).
		Err(l.link.cause).Str("outcome", "lost").Msg("slot connection")
}

// granted reports whether the request holds a slot.
func (t serverTicket) granted() bool {
	select {
	case <-t.slot.Decided():
		return t.slot.Refusal() == nil
	default:
		return false
	}
}

// open returns the number of tickets.
func (l *serverLink) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tickets)
}

func (l *serverLink) put(number uint64, ticket serverTicket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tickets[number] = ticket
}

// remove takes a ticket out and returns it, or nil.
func (l *serverLink) remove(number uint64) *admission.SlotTicket {
	l.mu.Lock()
	defer l.mu.Unlock()
	ticket := l.tickets[number]
	delete(l.tickets, number)
	return ticket.slot
}

// serve reads an entry's messages until the connection ends. An entry with tickets
// that is silent for too long is gone.
func (l *serverLink) serve() error {
	for {
		limit := 2 * idleLimit
		if l.open() > 0 {
			limit = silenceLimit
		}
		if err := l.link.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return errors.Wrap(err, "deadline")
		}
		m, err := l.link.read()
		if err != nil {
			return errors.Wrap(err, "message")
		}
		l.take(m)
	}
}

func (l *serverLink) take(m *message) {
	now := time.Now()
	switch {
	case m.Kind == kindPing:
		l.link.send(m)
	case m.Kind == kindAsk && m.Ask != nil:
		l.submit(now, m.Ticket, m.Ask)
	case m.Kind == kindFinish && m.Result != nil:
		if ticket := l.remove(m.Ticket); ticket != nil {
			l.server.queue.Finish(now, ticket, m.Result.outcome())
		}
	case m.Kind == kindWithdraw:
		if ticket := l.remove(m.Ticket); ticket != nil {
			l.server.queue.Withdraw(now, ticket)
		}
	}
}

// submit queues a request. An entry whose ticket has to wait is told so at once, so
// that it can tell a full queue from a dead sidecar.
func (l *serverLink) submit(now time.Time, number uint64, ask *Ask) {
	s := l.server
	if !s.healthy() {
		load := s.queue.Load()
		s.log(ask, admission.ReasonUnhealthy.String(), load, 0)
		l.link.send(&message{Kind: kindRefused, Ticket: number, Reason: admission.ReasonUnhealthy.String(), Load: &load})
		return
	}
	s.queue.SetCapacity(now, ask.Slots, ask.MemoryTokens)
	ticket := s.queue.Submit(now, ask.request(now))
	l.put(number, serverTicket{request: ask.RequestID, slot: ticket})
	select {
	case <-ticket.Decided():
		l.decided(number, ask, ticket, 0)
		return
	default:
	}
	load := s.queue.Load()
	l.link.send(&message{Kind: kindQueued, Ticket: number, Load: &load})
	go func() {
		select {
		case <-ticket.Decided():
			l.decided(number, ask, ticket, time.Since(now))
		case <-l.link.closed:
		}
	}()
}

// decided tells the entry what became of its ticket.
func (l *serverLink) decided(number uint64, ask *Ask, ticket *admission.SlotTicket, waited time.Duration) {
	load := l.server.queue.Load()
	refusal := ticket.Refusal()
	switch {
	case refusal == nil:
		l.server.log(ask, "granted", load, waited)
		l.link.send(&message{Kind: kindGranted, Ticket: number, Load: &load})
	case refusal.Reason == admission.ReasonBarred:
		// The entry itself withdrew.
	default:
		l.remove(number)
		l.server.log(ask, refusal.Reason.String(), load, waited)
		l.link.send(&message{
			Kind: kindRefused, Ticket: number, Reason: refusal.Reason.String(),
			RetryAfterMS: refusal.RetryAfter.Milliseconds(), Load: &load,
		})
	}
}

// end frees what the entry held or waited for: nothing is known of its requests.
func (l *serverLink) end() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ticket := range l.tickets {
		l.server.queue.Withdraw(now, ticket.slot)
	}
}

func (s *Server) log(ask *Ask, outcome string, load admission.SlotLoad, waited time.Duration) {
	s.logger.Info().Str("request_id", ask.RequestID).Uint32("rank", ask.Rank).Int64("objective_ms", ask.ObjectiveMS).
		Int("running", load.Running).Int("slots", load.Slots).Dur("waited_ms", waited).Str("outcome", outcome).Msg("slot")
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
		MaxEventGap:  time.Duration(a.MaxEventGapMS) * time.Millisecond,
	}
	if a.HasObjective {
		r.Objective = now.Add(time.Duration(a.ObjectiveMS) * time.Millisecond)
	}
	return r
}
