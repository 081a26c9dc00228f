package transport

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

// ClosedIdleError is the cancellation cause of requests on a connection that this process closed
// as idle.
type ClosedIdleError struct{}

func (*ClosedIdleError) Error() string { return "this process closed the connection as idle" }

// StoppedError is the cancellation cause of requests that still run at the end of the grace time
// of a shutdown.
type StoppedError struct{}

func (*StoppedError) Error() string { return "this process ended its grace time" }

// ConnectionCounts is a snapshot of the connection counters of a Connections.
type ConnectionCounts struct {
	// Open is the number of open connections, Active that of those with a request.
	Open, Active int64
	// ClosedIdle is the total number of connections that this process closed while they had no
	// request in a handler. ClosedArriving is the number of those on which bytes of a request
	// had already arrived.
	ClosedIdle, ClosedArriving int64
}

// Connections tracks the connections of an HTTP/1.1 server from accept to close: their number and
// the side that closes them. It is safe for concurrent use.
type Connections struct {
	logger zerolog.Logger
	closed metric.Int64Counter

	stopping                   atomic.Bool
	open, active               atomic.Int64
	closedIdle, closedArriving atomic.Int64
}

// NewConnections returns a tracker. It logs each connection that this process closes while a
// request is arriving. A nil meter exports no metrics.
func NewConnections(logger zerolog.Logger, meter metric.Meter) (*Connections, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	c := &Connections{logger: logger}
	var err error
	if c.closed, err = meter.Int64Counter("lagoonlane_connections_closed_idle", metric.WithDescription("callers' connections that this process closed while they were idle")); err != nil {
		return nil, errors.WithStack(err)
	}
	gauge, err := meter.Int64ObservableGauge("lagoonlane_connections", metric.WithDescription("callers' connections by state"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		counts := c.Counts()
		o.ObserveInt64(gauge, counts.Active, metric.WithAttributes(attribute.String("state", "active")))
		o.ObserveInt64(gauge, counts.Open-counts.Active, metric.WithAttributes(attribute.String("state", "idle")))
		return nil
	}, gauge)
	return c, errors.WithStack(err)
}

// Counts returns the current counts.
func (c *Connections) Counts() ConnectionCounts {
	return ConnectionCounts{
		Open: c.open.Load(), Active: c.active.Load(),
		ClosedIdle: c.closedIdle.Load(), ClosedArriving: c.closedArriving.Load(),
	}
}

// Observe installs hooks in a server that track its connections; hooks that the server already has
// are still called. The server's handler must be set before, and the server must be served on a
// listener that Listener returned.
func (c *Connections) Observe(server *http.Server) {
	nextState, nextContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked, err := netpeek.Find[*trackedConn](conn); err == nil {
			tracked.setState(state)
		} else if state == http.StateNew {
			c.logger.Error().Err(err).Str("peer", conn.RemoteAddr().String()).Str("outcome", "not tracked").Msg("connection")
		}
		if nextState != nil {
			nextState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, conn)
		}
		// A connection that isn't found has been logged when it was new.
		if tracked, err := netpeek.Find[*trackedConn](conn); err == nil {
			ctx, tracked.cancel = context.WithCancelCause(ctx)
			ctx = context.WithValue(ctx, connKey{}, tracked)
		}
		return ctx
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tracked, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
			tracked.handled.Store(true)
		}
		handler.ServeHTTP(w, r)
	})
}

// connKey is the context key of a request's *trackedConn.
type connKey struct{}

// Listener wraps inner so that its connections are tracked.
func (c *Connections) Listener(inner net.Listener) net.Listener {
	return &trackedListener{Listener: inner, connections: c}
}

// MarkStopping makes connections that are closed from now on count with the reason "stop".
func (c *Connections) MarkStopping() { c.stopping.Store(true) }

type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, connections: l.connections}, nil
}

// SyscallConn implements syscall.Conn.
func (l *trackedListener) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := l.Listener.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.WithStack(syscall.EINVAL)
}

// SetDeadline sets the deadline of Accept. It returns os.ErrNoDeadline if the inner listener does
// not support deadlines.
func (l *trackedListener) SetDeadline(t time.Time) error {
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return inner.SetDeadline(t)
	}
	return errors.WithStack(os.ErrNoDeadline)
}

// endedBy is the side that ended a connection.
type endedBy int32

const (
	endedByNone endedBy = iota
	// endedByPeer means that the peer closed the connection or that it failed.
	endedByPeer
	// endedByProcess means that this process closed the connection.
	endedByProcess
)

// trackedConn is a tracked connection of a caller.
type trackedConn struct {
	net.Conn
	connections *Connections
	// cancel cancels the requests of the connection. It is nil until the server has created
	// the connection's context.
	cancel context.CancelCauseFunc

	state   atomic.Int32
	endedBy atomic.Int32
	// received counts the bytes since the connection was last idle.
	received atomic.Int64
	// timedOut reports whether the last read failed at its deadline.
	timedOut atomic.Bool
	// handled reports whether the latest request has reached the handler.
	handled atomic.Bool
	// closedIdle reports whether this process closed the connection while it was idle, unread
	// whether the kernel's receive buffer held bytes at that time.
	closedIdle, unread atomic.Bool
}

// Read implements net.Conn.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.received.Add(int64(n))
	// Read deadlines are set by this process, so a timeout does not mean that the peer closed
	// the connection.
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	t.timedOut.Store(timedOut)
	if err != nil && t.idle() && !timedOut {
		t.endedBy.CompareAndSwap(int32(endedByNone), int32(endedByPeer))
	}
	return n, err
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	if t.endedBy.CompareAndSwap(int32(endedByNone), int32(endedByProcess)) && t.idle() {
		t.unread.Store(netpeek.Peek(t.Conn) == netpeek.Readable)
		t.closedIdle.Store(true)
		if t.cancel != nil {
			// The server may be about to pass a request to the handler.
			t.cancel(&ClosedIdleError{})
		}
	}
	return t.Conn.Close()
}

// NetConn returns the wrapped connection.
func (t *trackedConn) NetConn() net.Conn { return t.Conn }

// CloseWrite shuts down the writing side. The server uses it to send remaining data before it
// closes the connection.
func (t *trackedConn) CloseWrite() error {
	if closer, ok := t.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (t *trackedConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := t.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.WithStack(syscall.EINVAL)
}

// idle reports whether the connection has no request in progress.
func (t *trackedConn) idle() bool {
	state := http.ConnState(t.state.Load())
	return state == http.StateIdle || state == http.StateNew
}

// setState handles a change of the connection's state that the server reports.
func (t *trackedConn) setState(state http.ConnState) {
	c := t.connections
	previous := http.ConnState(t.state.Swap(int32(state)))
	if previous == http.StateActive {
		c.active.Add(-1)
	}
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateActive:
		c.active.Add(1)
		t.handled.Store(false)
	case http.StateIdle:
		t.received.Store(0)
		if endedBy(t.endedBy.Load()) == endedByProcess {
			// The server closed the connection as idle just before it reported the idle state.
			t.closedIdle.Store(true)
		}
	case http.StateHijacked, http.StateClosed:
		c.open.Add(-1)
		if t.cancel != nil {
			// Without this the connection's context stays registered with that of the process.
			t.cancel(nil)
		}
		t.countClose(previous)
	}
}

// countClose counts a connection that this process closed while it was idle, or with a request that
// did not reach a handler: because it was malformed or incomplete at a timeout, or because the
// server read it too late during a shutdown.
func (t *trackedConn) countClose(lastState http.ConnState) {
	unhandled := lastState == http.StateActive && !t.handled.Load() && endedBy(t.endedBy.Load()) == endedByProcess
	if !unhandled && !t.closedIdle.Load() {
		return
	}
	c := t.connections
	arriving := unhandled || t.received.Load() > 0 || t.unread.Load()
	reason := "refused"
	switch {
	case c.stopping.Load():
		reason = "stop"
	case t.timedOut.Load():
		reason = "timeout"
	}
	c.closedIdle.Add(1)
	c.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason), attribute.Bool("arriving", arriving)))
	if !arriving {
		return
	}
	c.closedArriving.Add(1)
	c.logger.Warn().Str("peer", t.RemoteAddr().String()).Str("reason", reason).Int64("received", t.received.Load()).
		Bool("unread", t.unread.Load()).Str("outcome", "closed with a request arriving").Msg("connection")
}
