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

// Client acquires slots from sidecars and deputies, over one connection to each endpoint. It is safe
// for concurrent use.
type Client struct {
	// Logger logs endpoints that are lost or regained, and connections that are lost with open
	// tickets. It must be set before the first use.
	Logger zerolog.Logger
	dial   transport.DialFunc
	// ctx ends when the client is closed; checks are the checks of lost endpoints.
	ctx     context.Context
	cancel  context.CancelFunc
	checks  sync.WaitGroup
	outages outages

	mu    sync.Mutex
	conns map[connKey]*clientConn
	// leases counts the running requests by engine and by the connection over which their slots were
	// granted; nil stands for requests without a slot.
	leases map[string]map[*clientConn]int
}

// NewClient returns a client. A nil dial means plain TCP.
func NewClient(dial transport.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		dial: dial, ctx: ctx, cancel: cancel, outages: outages{lost: map[string]*outage{}},
		conns: map[connKey]*clientConn{}, leases: map[string]map[*clientConn]int{},
	}
}

// Close closes all connections and waits for the checks of lost endpoints. Sidecars then free the
// slots held through the connections.
func (c *Client) Close() {
	c.outages.mu.Lock()
	c.cancel()
	c.outages.mu.Unlock()
	c.checks.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		<-conn.opened
		if conn.conn != nil {
			conn.conn.close(nil)
		}
	}
}

// Acquire requests a slot at an endpoint and waits for it. queued, if not nil, is called once the
// request is queued there. Acquire fails with *RefusedError, *UnreachableError or the error of ctx.
// After an UnreachableError, the endpoint's address is Lost until it answers again.
func (c *Client) Acquire(ctx context.Context, endpoint Endpoint, request Request, queued func(admission.SlotLoad)) (*Lease, error) {
	lease, err := c.acquire(ctx, endpoint, request, queued)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		c.recordLost(endpoint, unreachable.Cause)
	}
	return lease, err
}

func (c *Client) acquire(ctx context.Context, endpoint Endpoint, request Request, queued func(admission.SlotLoad)) (*Lease, error) {
	conn, t, err := c.submit(ctx, endpoint, request)
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
				return c.handleDecision(conn, t, m)
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
func (c *Client) submit(ctx context.Context, endpoint Endpoint, request Request) (*clientConn, *ticket, error) {
	for retried := false; ; retried = true {
		conn, err := c.connect(ctx, endpoint)
		if err != nil {
			return nil, nil, err
		}
		t, err := conn.submit(request, endpoint.Engine, c.leasesElsewhere(endpoint.Engine, conn))
		if err == nil || retried || !conn.hasAnswered() {
			return conn, t, err
		}
	}
}

// connect returns the open connection to an endpoint; it opens one if there is none.
func (c *Client) connect(ctx context.Context, endpoint Endpoint) (*clientConn, error) {
	key := endpoint.key()
	c.mu.Lock()
	conn := c.conns[key]
	if conn == nil || conn.isClosed() {
		conn = &clientConn{key: key, client: c, endpoint: endpoint, opened: make(chan struct{}), tickets: map[uint64]*ticket{}, lastSubmitted: time.Now()}
		c.conns[key] = conn
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
	conn.conn, conn.openErr = c.open(conn.key)
	close(conn.opened)
	if conn.openErr == nil {
		go conn.monitor()
		conn.conn.close(conn.readLoop())
		c.logLost(conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.key] == conn {
		delete(c.conns, conn.key)
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
	c.Logger.Warn().Str("sidecar", conn.key.address).Int("tickets", len(conn.tickets)).Strs("request_ids", requestIDs).
		Err(conn.conn.cause).Str("outcome", "lost").Msg("slot connection")
}

func (c *Client) open(key connKey) (*messageConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", key.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	mc, err := upgrade(conn, key)
	if err != nil {
		_ = conn.Close()
	}
	return mc, err
}

// upgrade performs the HTTP upgrade on a new connection.
func upgrade(conn net.Conn, key connKey) (*messageConn, error) {
	if err := conn.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, errors.Wrap(err, "deadline")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+key.address+key.path, nil)
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

func (c *Client) handleDecision(conn *clientConn, t *ticket, m *message) (*Lease, error) {
	load := admission.SlotLoad{}
	if m.Load != nil {
		load = *m.Load
	}
	if m.Kind == kindGranted {
		c.adjustLeases(t.engine, conn, 1)
		return &Lease{Load: load, client: c, conn: conn, ticket: t}, nil
	}
	conn.remove(t.number)
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

// BeginDirect counts a request that runs at an engine without a slot, until the returned function is
// called.
func (c *Client) BeginDirect(engine string) (end func()) {
	c.adjustLeases(engine, nil, 1)
	return func() { c.adjustLeases(engine, nil, -1) }
}

// adjustLeases adds to the number of requests that run at an engine under slots granted over conn, or
// without a slot if conn is nil.
func (c *Client) adjustLeases(engine string, conn *clientConn, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	byConn := c.leases[engine]
	if byConn == nil {
		byConn = map[*clientConn]int{}
		c.leases[engine] = byConn
	}
	if byConn[conn] += change; byConn[conn] <= 0 {
		delete(byConn, conn)
	}
	if len(byConn) == 0 {
		delete(c.leases, engine)
	}
}

// leasesElsewhere returns the number of requests that run at an engine under no slot granted over
// conn.
func (c *Client) leasesElsewhere(engine string, conn *clientConn) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for other, n := range c.leases[engine] {
		if other != conn {
			total += n
		}
	}
	return total
}

// Lease is a held slot.
type Lease struct {
	// Load is the state of the queue when the slot was granted.
	Load   admission.SlotLoad
	client *Client
	conn   *clientConn
	ticket *ticket
}

// GrantedBy returns the kind of process that granted the slot: "sidecar" or "deputy".
func (l *Lease) GrantedBy() string { return l.conn.endpoint.dependency() }

// Finish releases the slot and reports the outcome of the request to the sidecar. It doesn't
// block.
func (l *Lease) Finish(outcome admission.Outcome) {
	l.client.adjustLeases(l.ticket.engine, l.conn, -1)
	l.conn.remove(l.ticket.number)
	l.conn.conn.send(&message{Kind: kindFinish, Ticket: l.ticket.number, Result: newResult(outcome)})
}

// Abandon releases the slot without an outcome.
func (l *Lease) Abandon() {
	l.client.adjustLeases(l.ticket.engine, l.conn, -1)
	l.conn.withdraw(l.ticket)
}
