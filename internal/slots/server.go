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
	Logger zerolog.Logger
	// Limiter limits the rate of log lines about connections; may be nil.
	Limiter *telemetry.Limiter
}

// Server grants the slots of one engine.
type Server struct {
	queue  *admission.SlotQueue
	probe  Probe
	refuse func() string
	logger zerolog.Logger
	// limitedLogger is the rate-limited logger for lines that a fault can repeat.
	limitedLogger zerolog.Logger

	mu            sync.Mutex
	probeFailures int
	// conns holds the connections of entries.
	conns map[*serverConn]struct{}
	// closed is set by Close.
	closed bool
}

// NewServer returns a server that initially assumes that its engine is healthy.
func NewServer(options ServerOptions) *Server {
	return &Server{
		queue: options.Queue, probe: options.Probe, refuse: options.Refuse, logger: options.Logger, conns: map[*serverConn]struct{}{},
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
	if s.probe != nil {
		s.probeEngine(ctx)
	}
	s.applyUnaccounted(now)
}

// applyUnaccounted updates the queue with the requests that hold no slot of it, if the engine can't
// be asked for them.
func (s *Server) applyUnaccounted(now time.Time) {
	if s.probe == nil {
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
	if !strings.EqualFold(r.Header.Get("Upgrade"), upgradeProtocol) {
		w.Header().Set("Upgrade", upgradeProtocol)
		http.Error(w, "this path speaks "+upgradeProtocol, http.StatusUpgradeRequired)
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
	_, err := w.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeProtocol + "\r\n\r\n")
	if err != nil {
		return errors.Wrap(err, "write the upgrade answer")
	}
	return errors.Wrap(w.Flush(), "write the upgrade answer")
}

// serverConn is a sidecar's side of a connection.
type serverConn struct {
	server *Server
	conn   *messageConn

	mu sync.Mutex
	// tickets holds the tickets that wait or hold a slot, by number.
	tickets map[uint64]serverTicket
	// unaccounted is the entry's last report of message.Unaccounted.
	unaccounted   int
	unaccountedAt time.Time
}

func (c *serverConn) recordUnaccounted(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unaccounted, c.unaccountedAt = n, now
}

func (c *serverConn) unaccountedRequests(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.unaccountedAt) > unaccountedMaxAge {
		return 0
	}
	return c.unaccounted
}

// serverTicket is a request's place in the queue, and later its slot.
type serverTicket struct {
	requestID string
	slot      *admission.SlotTicket
}

// logLost logs a connection that ended with open tickets. The outcome of their requests is
// unknown to the sidecar.
func (c *serverConn) logLost(peer string, cause error) {
	c.conn.close(cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return
	}
	var requestIDs []string
	granted := 0
	for _, ticket := range c.tickets {
		if len(requestIDs) < maxListedRequests {
			requestIDs = append(requestIDs, ticket.requestID)
		}
		if ticket.granted() {
			granted++
		}
	}
	c.server.limitedLogger.Warn().Str("entry", peer).Int("tickets", len(c.tickets)).Int("granted", granted).Strs("request_ids", requestIDs).
		Err(c.conn.cause).Str("outcome", "lost").Msg("slot connection")
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

// ticketCount returns the number of tickets.
func (c *serverConn) ticketCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tickets)
}

func (c *serverConn) add(number uint64, ticket serverTicket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[number] = ticket
}

// remove removes a ticket and returns it, or nil if it is unknown.
func (c *serverConn) remove(number uint64) *admission.SlotTicket {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket := c.tickets[number]
	delete(c.tickets, number)
	return ticket.slot
}

// readLoop reads an entry's messages until the connection ends. An entry with tickets that is
// silent for silenceLimit is considered dead.
func (c *serverConn) readLoop() error {
	for {
		limit := 2 * idleLimit
		if c.ticketCount() > 0 {
			limit = silenceLimit
		}
		if err := c.conn.netConn.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return errors.Wrap(err, "deadline")
		}
		m, err := c.conn.read()
		if err != nil {
			return errors.Wrap(err, "message")
		}
		c.handle(m)
	}
}

func (c *serverConn) handle(m *message) {
	now := time.Now()
	switch {
	case m.Kind == kindPing:
		c.recordUnaccounted(now, m.Unaccounted)
		c.conn.send(m)
	case m.Kind == kindRequest && m.Request != nil:
		c.recordUnaccounted(now, m.Unaccounted)
		c.submit(now, m.Ticket, m.Request)
	case m.Kind == kindFinish && m.Result != nil:
		if ticket := c.remove(m.Ticket); ticket != nil {
			c.server.queue.Finish(now, ticket, m.Result.outcome())
		}
	case m.Kind == kindWithdraw:
		if ticket := c.remove(m.Ticket); ticket != nil {
			c.server.queue.Withdraw(now, ticket)
		}
	}
}

// submit queues a request. If the ticket has to wait, the entry is notified at once, so that it
// can distinguish a full queue from a dead sidecar.
func (c *serverConn) submit(now time.Time, number uint64, request *Request) {
	s := c.server
	if reason := s.refusalReason(); reason != "" {
		load := s.queue.Load()
		s.logTicket(request, reason, load, 0)
		c.conn.send(&message{Kind: kindRefused, Ticket: number, Reason: reason, Load: &load})
		return
	}
	s.applyUnaccounted(now)
	s.queue.SetCapacity(now, request.Slots, request.MemoryTokens)
	ticket := s.queue.Submit(now, request.admissionRequest(now))
	c.add(number, serverTicket{requestID: request.RequestID, slot: ticket})
	select {
	case <-ticket.Decided():
		c.sendDecision(number, request, ticket, 0)
		return
	default:
	}
	load := s.queue.Load()
	c.conn.send(&message{Kind: kindQueued, Ticket: number, Load: &load})
	go func() {
		select {
		case <-ticket.Decided():
			c.sendDecision(number, request, ticket, time.Since(now))
		case <-c.conn.closed:
		}
	}()
}

// sendDecision sends the grant or refusal of a ticket to the entry.
func (c *serverConn) sendDecision(number uint64, request *Request, ticket *admission.SlotTicket, waited time.Duration) {
	load := c.server.queue.Load()
	refusal := ticket.Refusal()
	switch {
	case refusal == nil:
		c.server.logTicket(request, "granted", load, waited)
		c.conn.send(&message{Kind: kindGranted, Ticket: number, Load: &load})
	case refusal.Reason == admission.ReasonBarred:
		// The entry withdrew the ticket itself.
	default:
		c.remove(number)
		c.server.logTicket(request, refusal.Reason.String(), load, waited)
		c.conn.send(&message{
			Kind: kindRefused, Ticket: number, Reason: refusal.Reason.String(),
			RetryAfterMS: refusal.RetryAfter.Milliseconds(), Load: &load,
		})
	}
}

// withdrawAll frees the slots and tickets of the entry. The outcome of their requests is
// unknown.
func (c *serverConn) withdrawAll() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ticket := range c.tickets {
		c.server.queue.Withdraw(now, ticket.slot)
	}
}

func (s *Server) logTicket(request *Request, outcome string, load admission.SlotLoad, waited time.Duration) {
	s.logger.Info().Str("request_id", request.RequestID).Uint32("rank", request.Rank).Int64("objective_ms", request.ObjectiveMS).
		Int("running", load.Running).Int("slots", load.Slots).Dur("waited_ms", waited).Str("outcome", outcome).Msg("slot")
}

// Drain refuses all waiting and later requests for slots.
func (s *Server) Drain() { s.queue.Drain(time.Now()) }

func (a *Request) admissionRequest(now time.Time) admission.Request {
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
