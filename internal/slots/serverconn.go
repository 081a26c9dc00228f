package slots

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

const (
	// maxTickets bounds the tickets of one connection.
	maxTickets = 4096
	// maxTokens and maxTime bound the numbers of a message, so that their sums overflow no type.
	maxTokens = 1<<31 - 1
	maxTime   = 24 * time.Hour

	reasonTooManyTickets = "too many tickets on one connection"
)

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
	if len(c.tickets) == 0 {
		c.setServing(true)
	}
	c.tickets[number] = ticket
}

// remove removes a ticket and returns it, or nil if it is unknown.
func (c *serverConn) remove(number uint64) *admission.SlotTicket {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket, known := c.tickets[number]
	delete(c.tickets, number)
	if known && len(c.tickets) == 0 {
		c.setServing(false)
	}
	return ticket.slot
}

// setServing tells the connection's guard, if it has one, whether it may give way to others.
func (c *serverConn) setServing(serving bool) {
	if guarded, err := netpeek.Find[servingConn](c.conn.netConn); err == nil {
		guarded.SetServing(serving)
	}
}

// servingConn is a connection whose listener bounds the number of connections without work.
type servingConn interface {
	net.Conn
	SetServing(serving bool)
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
	case m.Kind == kindRateLimit && m.Server != nil:
		c.server.recordRateLimit(now, *m.Server, m.RateLimit)
	}
}

// submit queues a request. If the ticket has to wait, the entry is notified at once, so that it
// can distinguish a full queue from a dead sidecar.
func (c *serverConn) submit(now time.Time, number uint64, request *Request) {
	s := c.server
	if reason := s.refusalReason(); reason != "" {
		load := s.load(now)
		s.logTicket(request, reason, load, 0, nil)
		c.conn.send(&message{Kind: kindRefused, Ticket: number, Reason: reason, Load: &load})
		return
	}
	if c.ticketCount() >= maxTickets {
		load := s.load(now)
		s.logTicket(request, reasonTooManyTickets, load, 0, nil)
		c.conn.send(&message{Kind: kindRefused, Ticket: number, Reason: reasonTooManyTickets, Load: &load})
		return
	}
	s.applyUnaccounted(now)
	s.recordRateLimit(now, request.Server, request.RateLimit)
	s.recordCold(now, request)
	s.queue.SetCapacity(now, request.Slots, request.MemoryTokens)
	ticket := s.queue.Submit(now, request.admissionRequest(now))
	c.add(number, serverTicket{requestID: request.RequestID, slot: ticket})
	select {
	case <-ticket.Decided():
		c.sendDecision(number, request, ticket, 0)
		return
	default:
	}
	load := s.load(now)
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
	load := c.server.load(time.Now())
	limit := c.server.rateLimitReport(time.Now())
	refusal := ticket.Refusal()
	switch {
	case refusal == nil:
		c.server.logTicket(request, "granted", load, waited, limit)
		c.conn.send(&message{Kind: kindGranted, Ticket: number, Load: &load})
	case refusal.Reason == admission.ReasonBarred:
		// The entry withdrew the ticket itself.
	default:
		c.remove(number)
		c.server.logTicket(request, refusal.Reason.String(), load, waited, limit)
		answer := &message{
			Kind: kindRefused, Ticket: number, Reason: refusal.Reason.String(),
			RetryAfterMS: refusal.RetryAfter.Milliseconds(), Load: &load,
		}
		if refusal.Reason == admission.ReasonRateLimit {
			answer.RateLimit = limit
		}
		c.conn.send(answer)
	}
}

// withdrawAll frees the slots and tickets of the entry. The outcome of their requests is
// unknown.
func (c *serverConn) withdrawAll() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ticket := range c.tickets {
		c.server.queue.Abandon(now, ticket.slot)
	}
}

func (a *Request) admissionRequest(now time.Time) admission.Request {
	r := admission.Request{
		ID:           a.RequestID,
		Account:      a.Account,
		Rank:         a.Rank,
		Deadline:     now.Add(decodeMilliseconds(a.BudgetMS)),
		PromptTokens: decodeTokens(a.PromptTokens),
		OutputTokens: decodeTokens(a.OutputTokens),
		LateHold:     max(decodeMilliseconds(a.LateHoldMS), 0),
		Age:          max(decodeMilliseconds(a.AgeMS), 0),
		MaxEventGap:  max(decodeMilliseconds(a.MaxEventGapMS), 0),
	}
	if a.HasObjective {
		r.Objective = now.Add(decodeMilliseconds(a.ObjectiveMS))
	}
	return r
}

// decodeTokens returns a number of tokens, between 0 and maxTokens.
func decodeTokens(n int) uint32 { return uint32(min(max(n, 0), maxTokens)) }

// decodeMilliseconds returns a time of a message, between -maxTime and maxTime.
func decodeMilliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxTime.Milliseconds()), maxTime.Milliseconds())) * time.Millisecond
}
