package slots

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const (
	// queueTimeout is how long a sidecar may take to confirm that a request is queued: about a
	// hundred times the usual round trip.
	queueTimeout = 250 * time.Millisecond
	// openTimeout limits the time to open and upgrade a connection.
	openTimeout = 250 * time.Millisecond
)

// Client acquires slots from sidecars, over one connection to each. It is safe for concurrent
// use.
type Client struct {
	// Logger logs connections that are lost with open tickets. It must be set before the first
	// use.
	Logger zerolog.Logger
	dial   transport.DialFunc

	mu    sync.Mutex
	conns map[string]*clientConn
}

// NewClient returns a client. A nil dial means plain TCP.
func NewClient(dial transport.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{dial: dial, conns: map[string]*clientConn{}}
}

// Close closes all connections. Sidecars then free the slots held through them.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		<-conn.opened
		if conn.conn != nil {
			conn.conn.close(nil)
		}
	}
}

// Acquire requests a slot from the sidecar at an address and waits for it. queued, if not nil,
// is called once the sidecar has queued the request. Acquire fails with *RefusedError,
// *UnreachableError or the error of ctx.
func (c *Client) Acquire(ctx context.Context, address string, request Request, queued func(admission.SlotLoad)) (*Lease, error) {
	conn, t, err := c.submit(ctx, address, request)
	if err != nil {
		return nil, err
	}
	timeout := time.NewTimer(queueTimeout)
	defer timeout.Stop()
	for {
		select {
		case m := <-t.answers:
			timeout.Stop()
			if m.Kind != kindQueued {
				return conn.handleDecision(t, m)
			}
			if queued != nil && m.Load != nil {
				queued(*m.Load)
			}
		case <-timeout.C:
			conn.withdraw(t)
			return nil, conn.unreachableError(&SilentError{Waited: queueTimeout})
		case <-conn.conn.closed:
			return nil, conn.unreachableError(&ClosedError{Cause: conn.conn.cause})
		case <-ctx.Done():
			conn.withdraw(t)
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// submit sends a request to a sidecar. If the connection had worked and was closed in the meantime,
// it retries once on a new one. A sidecar whose connection ends before its first answer is not
// asked again: nothing suggests that it would answer then.
func (c *Client) submit(ctx context.Context, address string, request Request) (*clientConn, *ticket, error) {
	for retried := false; ; retried = true {
		conn, err := c.connect(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		t, err := conn.submit(request)
		if err == nil || retried || !conn.hasAnswered() {
			return conn, t, err
		}
	}
}

// connect returns the open connection to a sidecar; it opens one if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	conn := c.conns[address]
	if conn == nil || conn.isClosed() {
		conn = &clientConn{address: address, opened: make(chan struct{}), tickets: map[uint64]*ticket{}}
		c.conns[address] = conn
		go c.runConn(conn)
	}
	c.mu.Unlock()
	select {
	case <-conn.opened:
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if conn.openErr != nil {
		return nil, conn.unreachableError(conn.openErr)
	}
	return conn, nil
}

// runConn opens a connection and reads it until it ends.
func (c *Client) runConn(conn *clientConn) {
	conn.conn, conn.openErr = c.open(conn.address)
	close(conn.opened)
	if conn.openErr == nil {
		go conn.monitor()
		conn.conn.close(conn.readLoop())
		c.logLost(conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.address] == conn {
		delete(c.conns, conn.address)
	}
}

// logLost logs a connection that ended with open tickets. Requests that hold a slot continue,
// but the sidecar considers their slots free.
func (c *Client) logLost(conn *clientConn) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if len(conn.tickets) == 0 {
		return
	}
	var requestIDs []string
	for _, t := range conn.tickets {
		if len(requestIDs) < maxListedRequests {
			requestIDs = append(requestIDs, t.requestID)
		}
	}
	c.Logger.Warn().Str("sidecar", conn.address).Int("tickets", len(conn.tickets)).Strs("request_ids", requestIDs).
		Err(conn.conn.cause).Str("outcome", "lost").Msg("slot connection")
}

func (c *Client) open(address string) (*messageConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	mc, err := upgrade(conn, address)
	if err != nil {
		_ = conn.Close()
	}
	return mc, err
}

// upgrade performs the HTTP upgrade on a new connection.
func upgrade(conn net.Conn, address string) (*messageConn, error) {
	if err := conn.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, errors.Wrap(err, "deadline")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "send the upgrade request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeProtocol)
	if err := request.Write(conn); err != nil {
		return nil, errors.Wrap(err, "send the upgrade request")
	}
	head := &io.LimitedReader{R: conn, N: maxUpgradeBytes}
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, errors.Wrap(err, "read the upgrade answer")
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.WithStack(&StatusError{Status: response.Status})
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "deadline")
	}
	head.N = math.MaxInt64
	return newMessageConn(conn, reader), nil
}

// clientConn is an entry's side of a connection.
type clientConn struct {
	address string
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
}

// ticket is a request's place in a sidecar's queue, and later its slot.
type ticket struct {
	number    uint64
	requestID string
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
	return errors.WithStack(&UnreachableError{Address: c.address, Cause: cause})
}

func (c *clientConn) submit(request Request) (*ticket, error) {
	t := &ticket{requestID: request.RequestID, answers: make(chan *message, 2)}
	now := time.Now()
	c.mu.Lock()
	if len(c.tickets) == 0 {
		c.lastReceived = now
	}
	c.lastTicket++
	t.number, c.lastSubmitted = c.lastTicket, now
	c.tickets[t.number] = t
	c.mu.Unlock()
	if !c.conn.send(&message{Kind: kindRequest, Ticket: t.number, Request: &request}) {
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

func (c *clientConn) handleDecision(t *ticket, m *message) (*Lease, error) {
	load := admission.SlotLoad{}
	if m.Load != nil {
		load = *m.Load
	}
	if m.Kind == kindGranted {
		return &Lease{Load: load, conn: c, ticket: t}, nil
	}
	c.remove(t.number)
	return nil, errors.WithStack(&RefusedError{
		Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond, Load: load,
	})
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
	case !c.conn.send(&message{Kind: kindPing}):
		return errors.WithStack(&ClosedError{})
	}
	return nil
}

// Lease is a held slot.
type Lease struct {
	// Load is the state of the queue when the slot was granted.
	Load   admission.SlotLoad
	conn   *clientConn
	ticket *ticket
}

// Finish releases the slot and reports the outcome of the request to the sidecar. It doesn't
// block.
func (l *Lease) Finish(outcome admission.Outcome) {
	l.conn.remove(l.ticket.number)
	l.conn.conn.send(&message{Kind: kindFinish, Ticket: l.ticket.number, Result: newResult(outcome)})
}

// Abandon releases the slot without an outcome.
func (l *Lease) Abandon() { l.conn.withdraw(l.ticket) }
