package slots

import (
	"bufio"
	"context"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
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
	// Opening a connection takes time, and those that end need the lock.
	c.mu.Lock()
	conns := slices.Collect(maps.Values(c.conns))
	c.mu.Unlock()
	for _, conn := range conns {
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
	request.Header.Set("Upgrade", Protocol)
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
		Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond, Load: load, RateLimit: m.RateLimit,
	})
}
