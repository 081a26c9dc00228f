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
	// answerTimeout is how long a sidecar may take to say that it has queued a request:
	// a hundred times the usual way there and back.
	answerTimeout = 250 * time.Millisecond
	// openTimeout bounds opening a connection.
	openTimeout = 250 * time.Millisecond
)

// Client asks sidecars for slots, over one connection to each. It is safe for
// concurrent use.
type Client struct {
	// Logger gets a line for each connection that is lost with tickets open; set before
	// the first use.
	Logger zerolog.Logger
	dial   transport.DialFunc

	mu    sync.Mutex
	links map[string]*clientLink
}

// NewClient returns a client. A nil dial means plain TCP.
func NewClient(dial transport.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Client{dial: dial, links: map[string]*clientLink{}}
}

// Close closes all connections: slots that are held are free again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		<-l.opened
		if l.link != nil {
			l.link.end(nil)
		}
	}
}

// Acquire asks the sidecar at an address for a slot and waits for it. Queued, if not
// nil, is called once the sidecar has taken the request into its queue. It fails with
// *RefusedError, *UnreachableError or the error of ctx.
func (c *Client) Acquire(ctx context.Context, address string, ask Ask, queued func(admission.SlotLoad)) (*Lease, error) {
	l, t, err := c.submit(ctx, address, ask)
	if err != nil {
		return nil, err
	}
	silence := time.NewTimer(answerTimeout)
	defer silence.Stop()
	for {
		select {
		case m := <-t.answers:
			silence.Stop()
			if m.Kind != kindQueued {
				return l.decided(t, m)
			}
			if queued != nil && m.Load != nil {
				queued(*m.Load)
			}
		case <-silence.C:
			l.withdraw(t)
			return nil, l.unreachable(&SilentError{Waited: answerTimeout})
		case <-l.link.closed:
			return nil, l.unreachable(&ClosedError{Cause: l.link.cause})
		case <-ctx.Done():
			l.withdraw(t)
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

// submit sends a request to a sidecar. A connection that was closed for want of use is
// opened again.
func (c *Client) submit(ctx context.Context, address string, ask Ask) (*clientLink, *ticket, error) {
	for again := false; ; again = true {
		l, err := c.connect(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		t, err := l.ask(ask)
		if err == nil || again {
			return l, t, err
		}
	}
}

// connect returns the open connection to a sidecar, and opens one if there is none.
func (c *Client) connect(ctx context.Context, address string) (*clientLink, error) {
	c.mu.Lock()
	l := c.links[address]
	if l == nil || l.ended() {
		l = &clientLink{address: address, opened: make(chan struct{}), tickets: map[uint64]*ticket{}}
		c.links[address] = l
		go c.run(l)
	}
	c.mu.Unlock()
	select {
	case <-l.opened:
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if l.failure != nil {
		return nil, l.unreachable(l.failure)
	}
	return l, nil
}

// run opens a connection and reads it until it ends.
func (c *Client) run(l *clientLink) {
	l.link, l.failure = c.open(l.address)
	close(l.opened)
	if l.failure == nil {
		go l.watch()
		l.link.end(l.readAnswers())
		c.lost(l)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// lost writes a line for a connection that ended with tickets open. Requests that hold a
// slot go on; their slots are free at the sidecar.
func (c *Client) lost(l *clientLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tickets) == 0 {
		return
	}
	var named []string
	for _, t := range l.tickets {
		if len(named) < maxNamedRequests {
			named = append(named, t.request)
		}
	}
	c.Logger.Warn().Str("sidecar", l.address).Int("tickets", len(l.tickets)).Strs("request_ids", named).
		Err(l.link.cause).Str("outcome", "lost").Msg("slot connection")
}

func (c *Client) open(address string) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	l, err := upgrade(conn, address)
	if err != nil {
		_ = conn.Close()
	}
	return l, err
}

// upgrade turns a fresh connection into a link.
func upgrade(conn net.Conn, address string) (*link, error) {
	if err := conn.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, errors.Wrap(err, "deadline")
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "upgrade request")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeProtocol)
	if err := request.Write(conn); err != nil {
		return nil, errors.Wrap(err, "upgrade request")
	}
	head := &io.LimitedReader{R: conn, N: maxUpgradeBytes}
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, errors.Wrap(err, "upgrade answer")
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.WithStack(&StatusError{Status: response.Status})
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "deadline")
	}
	head.N = math.MaxInt64
	return newLink(conn, reader), nil
}

// clientLink is an entry's side of a connection.
type clientLink struct {
	address string
	// opened is closed once link or failure is set.
	opened  chan struct{}
	link    *link
	failure error

	mu      sync.Mutex
	last    uint64
	tickets map[uint64]*ticket
	// heard is when the sidecar was last heard, or when there was nothing to hear.
	heard time.Time
	// used is when a ticket was last added.
	used time.Time
}

// ticket is a request's place in a sidecar's queue, then its slot.
type ticket struct {
	number  uint64
	request string
	// answers holds "queued" and the decision at most.
	answers chan *message
}

// ended reports whether the connection was open and isn't any more.
func (l *clientLink) ended() bool {
	select {
	case <-l.opened:
		return l.failure != nil || l.link.ended()
	default:
		return false
	}
}

func (l *clientLink) unreachable(cause error) error {
	return errors.WithStack(&UnreachableError{Address: l.address, Cause: cause})
}

func (l *clientLink) ask(ask Ask) (*ticket, error) {
	t := &ticket{request: ask.RequestID, answers: make(chan *message, 2)}
	now := time.Now()
	l.mu.Lock()
	if len(l.tickets) == 0 {
		l.heard = now
	}
	l.last++
	t.number, l.used = l.last, now
	l.tickets[t.number] = t
	l.mu.Unlock()
	if !l.link.send(&message{Kind: kindAsk, Ticket: t.number, Ask: &ask}) {
		l.remove(t.number)
		return nil, l.unreachable(&ClosedError{Cause: l.link.cause})
	}
	return t, nil
}

func (l *clientLink) remove(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.tickets, number)
}

// withdraw takes a ticket back. A slot that is granted all the same is free again once
// the sidecar reads this.
func (l *clientLink) withdraw(t *ticket) {
	l.remove(t.number)
	l.link.send(&message{Kind: kindWithdraw, Ticket: t.number})
}

func (l *clientLink) decided(t *ticket, m *message) (*Lease, error) {
	load := admission.SlotLoad{}
	if m.Load != nil {
		load = *m.Load
	}
	if m.Kind == kindGranted {
		return &Lease{Load: load, link: l, ticket: t}, nil
	}
	l.remove(t.number)
	return nil, errors.WithStack(&RefusedError{
		Reason: m.Reason, RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond, Load: load,
	})
}

// readAnswers hands the sidecar's answers to their tickets until the connection ends. It
// returns why that is.
func (l *clientLink) readAnswers() error {
	for {
		m, err := l.link.read()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		l.mu.Lock()
		l.heard = time.Now()
		t := l.tickets[m.Ticket]
		l.mu.Unlock()
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

// watch closes the connection when the sidecar is silent or nothing was asked for long.
func (l *clientLink) watch() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	looked := time.Now()
	for {
		select {
		case <-l.link.closed:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if err := l.look(now, now.Sub(looked) > 2*pingInterval); err != nil {
			l.link.end(err)
			return
		}
		looked = now
	}
}

// look pings the sidecar if there are tickets, and fails if the connection is of no use.
// After a pause of this process the sidecar gets its time anew.
func (l *clientLink) look(now time.Time, paused bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if paused {
		l.heard = now
	}
	switch {
	case len(l.tickets) == 0 && now.Sub(l.used) >= idleLimit:
		return errors.WithStack(&IdleError{})
	case len(l.tickets) == 0:
		return nil
	case now.Sub(l.heard) >= silenceLimit:
		return errors.WithStack(&SilentError{Waited: now.Sub(l.heard)})
	case !l.link.send(&message{Kind: kindPing}):
		return errors.WithStack(&ClosedError{})
	}
	return nil
}

// Lease is a slot that is held.
type Lease struct {
	// Load is the state of the queue when the slot was granted.
	Load   admission.SlotLoad
	link   *clientLink
	ticket *ticket
}

// Finish gives the slot back and tells the sidecar what became of the request. It
// doesn't wait.
func (l *Lease) Finish(outcome admission.Outcome) {
	l.link.remove(l.ticket.number)
	l.link.link.send(&message{Kind: kindFinish, Ticket: l.ticket.number, Result: newResult(outcome)})
}

// Abandon gives the slot back without a result.
func (l *Lease) Abandon() { l.link.withdraw(l.ticket) }
