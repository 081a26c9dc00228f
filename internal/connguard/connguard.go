// Package connguard bounds what the connections of clients hold in a process before their requests are passed on: their
// number, and the bytes of heads that are not complete. When a bound is reached, connections give way that carry no
// complete request: those that have sent nothing first, then idle ones, incomplete heads and incomplete bodies, the
// oldest first; for the bytes of heads, the largest. A connection with a complete request is never closed for another
// one. It ends by itself: a client that has left or doesn't read its answer ends it, and so does one that sends too many
// requests ahead of their answers.
//
// The package does not depend on the meaning of requests. The bytes of bodies and answers are bounded elsewhere (package
// membudget).
package connguard

import (
	"container/heap"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

// Limits bound what the connections of one group of listeners hold.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// HeadBytes returns the size of one incomplete head, including empty lines before it.
	HeadBytes func() int64
	// TotalHeadBytes is the size of all incomplete heads together.
	TotalHeadBytes int64
	// Streams is the number of running requests of all HTTP/2 connections together; 0 means no limit.
	Streams int64
}

// Options configures a Guard. Name and Limits are required.
type Options struct {
	// Name identifies the listeners in logs and metrics.
	Name   string
	Limits Limits
	// Logger should be limited in its rate.
	Logger zerolog.Logger
	// Meter exports no metrics if it is nil.
	Meter metric.Meter
}

// maxPipelined is the number of requests in a row that may come before the answer to the one before has begun. The
// connection then ends with the next answer.
const maxPipelined = 16

// Reasons for which connections are closed.
const (
	reasonHead        = "its head is too large"
	reasonTotalHeads  = "the incomplete heads are too large together"
	reasonConnections = "there are too many connections"
	reasonPipelined   = "too many requests came before the answers of those before"
	reasonUnread      = "the client does not read"
	reasonStreams     = "the HTTP/2 connections have too many requests together"
	reasonUnguarded   = "it does not come from a guarded listener"
)

// LimitError reports that a connection was closed for a limit.
type LimitError struct{ Reason string }

func (e *LimitError) Error() string { return "connection closed: " + e.Reason }

// Guard applies limits to the connections of its listeners. It is safe for concurrent use.
type Guard struct {
	options Options
	closed  metric.Int64Counter

	mu sync.Mutex
	// open is the number of open connections.
	open int
	// waiting holds the connections of each class that gives way, those that have been in it for longest first.
	waiting [waitingClasses]list.List
	// heads holds the connections with an incomplete head, and headBytes is the size of these.
	heads     connHeap
	headBytes int64
	// multiplexed holds the HTTP/2 connections with running requests, and streams is the number of these.
	multiplexed connHeap
	streams     int64
}

// New returns a Guard without connections.
func New(options Options) (*Guard, error) {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	g := &Guard{
		options:     options,
		heads:       connHeap{held: func(c *conn) int64 { return c.headBytes }, place: func(c *conn) *int { return &c.headPlace }},
		multiplexed: connHeap{held: func(c *conn) int64 { return c.streams }, place: func(c *conn) *int { return &c.streamPlace }},
	}
	var err error
	g.closed, err = options.Meter.Int64Counter("lagoonlane_connections_limited", metric.WithDescription("client connections that were closed for a limit, by listener and reason"))
	return g, errors.WithStack(err)
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// Protect makes a server report the states of its connections to the guard; hooks that the server has are still called.
// The server's handler must be set before, and the server must be served on listeners that Listener returned.
func (g *Guard) Protect(server *http.Server) {
	next, nextContext, handler := server.ConnState, server.ConnContext, server.Handler
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, raw)
		}
		c, err := netpeek.Find[*conn](raw)
		if err != nil {
			g.refuseUnguarded(raw, err)
			return ctx
		}
		ctx, c.cancel = context.WithCancelCause(ctx)
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
			// ConnContext has closed the connection.
			panic(http.ErrAbortHandler)
		case r.ProtoMajor < 2:
			serveGuarded(handler, c, w, r)
		default:
			c.beginStream()
			defer c.endStream()
			handler.ServeHTTP(w, r)
		}
	})
	server.ConnState = func(raw net.Conn, state http.ConnState) {
		// A connection that isn't found is closed by ConnContext.
		if c, err := netpeek.Find[*conn](raw); err == nil {
			c.setState(state)
		}
		if next != nil {
			next(raw, state)
		}
	}
}

// serveGuarded serves a request of HTTP/1.1.
func serveGuarded(handler http.Handler, c *conn, w http.ResponseWriter, r *http.Request) {
	hasBody := r.Body != nil && r.ContentLength != 0
	if c.beginRequest(hasBody) {
		c.guard.report(c, reasonPipelined)
		w.Header().Set("Connection", "close")
	}
	if hasBody {
		// The request is copied because net/http inspects the Body field of its own request.
		request := *r
		request.Body = &guardedBody{ReadCloser: r.Body, conn: c}
		r = &request
	}
	handler.ServeHTTP(w, r)
}

// guardedBody is a request body that tells the guard when it has been read to its end.
type guardedBody struct {
	io.ReadCloser
	conn  *conn
	ended bool
}

func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		b.conn.endBody()
	}
	return n, err
}

// Listener wraps inner so that its connections are guarded.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// move puts a connection into another class, at the end of those that wait there. The caller holds g.mu.
func (g *Guard) move(c *conn, to class) {
	if c.class == classGone && c.place == nil && to != classSilent {
		// The connection has given way.
		return
	}
	if c.place != nil {
		g.waiting[c.class].Remove(c.place)
		c.place = nil
	}
	if c.headPlace != outsideHeap && to != classHead {
		heap.Remove(&g.heads, c.headPlace)
		g.headBytes -= c.headBytes
		c.headBytes = 0
	}
	if c.streamPlace != outsideHeap && to == classGone {
		heap.Remove(&g.multiplexed, c.streamPlace)
	}
	if to == classGone {
		g.open--
	}
	if c.class = to; to < waitingClasses {
		c.place = g.waiting[to].PushBack(c)
	}
	if to == classHead && c.headPlace == outsideHeap {
		heap.Push(&g.heads, c)
	}
}

// add takes a new connection, for which another one gives way if there are too many. It reports false if none does.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	var victim *conn
	if g.open >= g.options.Limits.Connections {
		if victim = g.oldestWaiting(); victim == nil {
			g.mu.Unlock()
			return false
		}
		g.move(victim, classGone)
	}
	g.open++
	g.move(c, classSilent)
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, reasonConnections)
	}
	return true
}

// oldestWaiting returns the connection that gives way to a new one, or nil. The caller holds g.mu.
func (g *Guard) oldestWaiting() *conn {
	for i := range g.waiting {
		if front := g.waiting[i].Front(); front != nil {
			return front.Value.(*conn)
		}
	}
	return nil
}

// received counts bytes that have been read from a connection. It returns *LimitError if the connection has to be
// closed.
func (g *Guard) received(c *conn, n int64) error {
	maxHead := g.options.Limits.HeadBytes()
	g.mu.Lock()
	c.receivedSinceIdle = true
	switch {
	case c.class == classGone, c.class == classBody, c.takenOver:
		g.mu.Unlock()
		return nil
	case c.class == classServing:
		if !c.multiplexed {
			g.receivedEarly(c)
		}
		g.mu.Unlock()
		return nil
	case c.class != classHead:
		g.move(c, classHead)
	}
	c.headBytes += n
	g.headBytes += n
	heap.Fix(&g.heads, c.headPlace)
	var victim *conn
	reason := ""
	switch {
	case c.headBytes > maxHead:
		victim, reason = c, reasonHead
	case g.headBytes > g.options.Limits.TotalHeadBytes:
		victim, reason = g.heads.conns[0], reasonTotalHeads
	}
	if victim != nil {
		g.move(victim, classGone)
	}
	g.mu.Unlock()
	switch victim {
	case nil:
		return nil
	case c:
		g.report(c, reason)
		return errors.WithStack(&LimitError{Reason: reason})
	}
	g.close(victim, reason)
	return nil
}

// receivedEarly processes bytes that have come while a request is running: they belong to the next one. A client that
// has seen the beginning of the answer is not early. The caller holds g.mu.
func (g *Guard) receivedEarly(c *conn) {
	if c.answered.Load() {
		return
	}
	c.early = true
	if c.watched != c.requests && c.cancel != nil {
		c.watched = c.requests
		go c.watch(c.requests)
	}
}

// refuseUnguarded closes a connection whose states the guard doesn't see. It would be served without limits, or closed
// while its request runs.
func (g *Guard) refuseUnguarded(raw net.Conn, cause error) {
	g.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", g.options.Name), attribute.String("reason", reasonUnguarded)))
	g.options.Logger.Error().Str("listener", g.options.Name).Str("client", raw.RemoteAddr().String()).Err(cause).
		Str("reason", reasonUnguarded).Str("outcome", "closed").Msg("client connection")
	// The goroutine that reads from the connection reports the error.
	_ = raw.Close()
}

// close closes a connection that gives way.
func (g *Guard) close(c *conn, reason string) {
	g.report(c, reason)
	// The goroutine that reads from the connection reports the error.
	_ = c.Conn.Close()
}

func (g *Guard) report(c *conn, reason string) {
	g.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", g.options.Name), attribute.String("reason", reason)))
	g.options.Logger.Warn().Str("listener", g.options.Name).Str("client", c.RemoteAddr().String()).Str("reason", reason).
		Dur("age_ms", time.Since(c.opened)).Str("outcome", "closed").Msg("client connection")
}
