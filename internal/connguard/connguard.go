// Package connguard bounds what the connections of clients hold in a process before their requests are read: their
// number, and the bytes of heads that are not complete. When a bound is reached, connections without a request give
// way: those that have sent nothing first, then incomplete heads, the largest first. A connection with a request is
// never closed.
//
// The package does not depend on the meaning of requests. Bodies and answers are bounded elsewhere (package membudget).
package connguard

import (
	"context"
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

// Reasons for which connections are closed.
const (
	reasonHead        = "its head is too large"
	reasonTotalHeads  = "the incomplete heads are too large together"
	reasonConnections = "there are too many connections"
	reasonUnguarded   = "it does not come from a guarded listener"
)

// LimitError reports that a connection was closed for a limit.
type LimitError struct{ Reason string }

func (e *LimitError) Error() string { return "connection closed: " + e.Reason }

// Guard applies limits to the connections of its listeners. It is safe for concurrent use.
type Guard struct {
	options Options
	closed  metric.Int64Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// headBytes is the size of all incomplete heads.
	headBytes int64
}

// New returns a Guard without connections.
func New(options Options) (*Guard, error) {
	if options.Meter == nil {
		options.Meter = noop.Meter{}
	}
	g := &Guard{options: options, conns: map[*conn]struct{}{}}
	var err error
	g.closed, err = options.Meter.Int64Counter("lagoonlane_connections_limited", metric.WithDescription("connections without a request that were closed for a limit, by listener and reason"))
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
		return context.WithValue(ctx, connKey{}, c)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// net/http doesn't report a request as active whose bytes all came with the one before.
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setState(http.StateActive)
		}
		handler.ServeHTTP(w, r)
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

// Listener wraps inner so that its connections are guarded.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// add takes a new connection, for which another one gives way if there are too many. It reports false if none does.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	var victim *conn
	if len(g.conns) >= g.options.Limits.Connections {
		if victim = g.oldestWithoutRequest(); victim == nil {
			g.mu.Unlock()
			return false
		}
		g.remove(victim)
	}
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, reasonConnections)
	}
	return true
}

// remove forgets a connection. The caller holds g.mu.
func (g *Guard) remove(c *conn) {
	if _, known := g.conns[c]; known {
		delete(g.conns, c)
		g.headBytes -= c.headBytes
		c.headBytes = 0
	}
}

// oldestWithoutRequest returns the connection that gives way to a new one, or nil: one that has sent nothing since it
// was opened before one that waits for a further request or has sent a part of a head, and the one that has waited
// longest. The caller holds g.mu.
func (g *Guard) oldestWithoutRequest() *conn {
	var oldest *conn
	for c := range g.conns {
		switch {
		case c.serving:
		case oldest == nil, c.class() < oldest.class(), c.class() == oldest.class() && c.since.Before(oldest.since):
			oldest = c
		}
	}
	return oldest
}

// largestHead returns the connection with the largest incomplete head. The caller holds g.mu.
func (g *Guard) largestHead() *conn {
	var largest *conn
	for c := range g.conns {
		if !c.serving && (largest == nil || c.headBytes > largest.headBytes) {
			largest = c
		}
	}
	return largest
}

// received counts bytes of a head that have been read from a connection. It returns *LimitError if the connection has to
// be closed.
func (g *Guard) received(c *conn, n int64) error {
	maxHead := g.options.Limits.HeadBytes()
	g.mu.Lock()
	if _, known := g.conns[c]; !known || c.serving {
		g.mu.Unlock()
		return nil
	}
	c.headBytes += n
	g.headBytes += n
	var victim *conn
	reason := ""
	switch {
	case c.headBytes > maxHead:
		victim, reason = c, reasonHead
	case g.headBytes > g.options.Limits.TotalHeadBytes:
		victim, reason = g.largestHead(), reasonTotalHeads
	}
	if victim != nil {
		g.remove(victim)
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
