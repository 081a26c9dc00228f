package slots

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// clientConn is an entry's side of a connection.
type clientConn struct {
	key connKey
	// endpoint is that for which the connection was opened.
	endpoint Endpoint
	client   *Client
	// opened is closed once conn or openErr is set.
	opened  chan struct{}
	conn    *messageConn
	openErr error

	mu         sync.Mutex
	lastTicket uint64
	tickets    map[uint64]*ticket
	// lastReceived is when the last message of the sidecar was received, or when the first
	// ticket was added if there were none.
	lastReceived time.Time
	// lastSubmitted is when the last ticket was added.
	lastSubmitted time.Time
	// answered is set once the sidecar has sent a message.
	answered bool
	// pong is closed when the next message is received; nil if nobody waits for it.
	pong chan struct{}
}

// ticket is a request's place in a sidecar's queue, and later its slot.
type ticket struct {
	number    uint64
	requestID string
	// engine is the id of the engine that runs the request.
	engine string
	// answers buffers at most two messages: "queued" and the decision.
	answers chan *message
}

// isClosed reports whether the connection could not be opened or has been closed. It is false
// while the connection is being opened.
func (c *clientConn) isClosed() bool {
	select {
	case <-c.opened:
		return c.openErr != nil || c.conn.isClosed()
	default:
		return false
	}
}

func (c *clientConn) unreachableError(cause error) error {
	return errors.WithStack(&UnreachableError{Address: c.key.address, Cause: cause})
}

func (c *clientConn) submit(request Request, engine string, unaccounted int) (*ticket, error) {
	t := &ticket{requestID: request.RequestID, engine: engine, answers: make(chan *message, 2)}
	now := time.Now()
	c.mu.Lock()
	if len(c.tickets) == 0 {
		c.lastReceived = now
	}
	c.lastTicket++
	t.number, c.lastSubmitted = c.lastTicket, now
	c.tickets[t.number] = t
	c.mu.Unlock()
	if !c.conn.send(&message{Kind: kindRequest, Ticket: t.number, Request: &request, Unaccounted: unaccounted}) {
		c.remove(t.number)
		return nil, c.unreachableError(&ClosedError{Cause: c.conn.cause})
	}
	return t, nil
}

func (c *clientConn) hasAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

func (c *clientConn) remove(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tickets, number)
}

// withdraw cancels a ticket. If a slot is granted meanwhile, the sidecar frees it when it reads
// the withdrawal.
func (c *clientConn) withdraw(t *ticket) {
	c.remove(t.number)
	c.conn.send(&message{Kind: kindWithdraw, Ticket: t.number})
}

// readLoop passes the sidecar's answers to their tickets until the connection ends. It returns
// the cause.
func (c *clientConn) readLoop() error {
	for {
		m, err := c.conn.read()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		c.mu.Lock()
		c.lastReceived, c.answered = time.Now(), true
		if c.pong != nil {
			close(c.pong)
			c.pong = nil
		}
		t := c.tickets[m.Ticket]
		c.mu.Unlock()
		if t == nil || m.Kind == kindPing {
			continue
		}
		select {
		case t.answers <- m:
		default:
			return errors.WithStack(&ExtraAnswerError{Ticket: m.Ticket})
		}
	}
}

// monitor closes the connection when the sidecar is silent for too long or no tickets were
// submitted for idleLimit.
func (c *clientConn) monitor() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastCheck := time.Now()
	for {
		select {
		case <-c.conn.closed:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if err := c.check(now, now.Sub(lastCheck) > 2*pingInterval); err != nil {
			c.conn.close(err)
			return
		}
		lastCheck = now
	}
}

// check sends a ping if there are tickets, and fails if the connection is idle, silent or
// closed. After a pause of this process, the time of the sidecar's silence is counted from now.
func (c *clientConn) check(now time.Time, paused bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if paused {
		c.lastReceived = now
	}
	switch {
	case len(c.tickets) == 0 && now.Sub(c.lastSubmitted) >= idleLimit:
		return errors.WithStack(&IdleError{})
	case len(c.tickets) == 0:
		return nil
	case now.Sub(c.lastReceived) >= silenceLimit:
		return errors.WithStack(&SilentError{Waited: now.Sub(c.lastReceived)})
	case !c.conn.send(&message{Kind: kindPing, Unaccounted: c.client.leasesElsewhere(c.endpoint.Engine, c)}):
		return errors.WithStack(&ClosedError{})
	}
	return nil
}

// expectPong returns a channel that is closed when the next message is received.
func (c *clientConn) expectPong() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pong == nil {
		c.pong = make(chan struct{})
	}
	return c.pong
}

// closeIfUnused closes the connection if it has no tickets.
func (c *clientConn) closeIfUnused(cause error) {
	c.mu.Lock()
	used := len(c.tickets) > 0
	c.mu.Unlock()
	if !used {
		c.conn.close(cause)
	}
}
