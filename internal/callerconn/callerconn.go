// Package callerconn is an HTTP/1.1 server for callers whose graceful shutdown drops no request
// that has arrived. http.Server.Shutdown may drop one: it closes a connection that it considers
// idle although the connection's goroutine may have just read a request, and it drops every
// request that is read after it was called.
//
// Shutdown guarantees the following:
//   - Connections in the kernel's accept queue are accepted before the listener is closed. A
//     connection that arrives between the last check of the queue and the close is reset;
//     none of its bytes have been read.
//   - A connection is closed only by the goroutine that reads from it, while it waits for a
//     request, and only if no byte of a request has been read and the kernel holds none. So a
//     request that has arrived is answered, with "Connection: close".
//   - A request that arrives after that check crosses the close: none of its bytes have been
//     read and it reaches no handler.
//   - A connection that has carried no request yet stays open for firstRequestGrace, as its caller
//     is about to send one.
//   - A connection whose answer began without "Connection: close" is closed by the same
//     rules as soon as that answer is complete.
//   - If a caller pipelines two requests, the second may be dropped, as the first answer
//     announces the close of the connection. The first answer still arrives: the bytes of the
//     second request are read for up to lingerTimeout before the close.
//
// The kernel is also checked for received bytes before a connection is closed because of the
// idle timeout. If a handler answers before it has read the request body, for example with a
// refusal, the rest of the body is read before the connection is closed, within bounds of time
// and size. Otherwise a caller that is still sending would lose the answer.
//
// The package does not depend on the meaning of requests.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	pkgerrors "github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

const (
	// firstRequestGrace is how long a connection may wait for its first request during a shutdown.
	// Callers send a request right after connecting; a lost packet is retransmitted after
	// 200 ms, TCP's minimum retransmission timeout.
	firstRequestGrace = 500 * time.Millisecond
	// acceptQueueTimeout bounds the time for emptying the accept queue. Accepting takes
	// microseconds; it takes longer only if callers keep connecting.
	acceptQueueTimeout = 200 * time.Millisecond
	// acceptCheckInterval is the interval at which the accept queue is checked.
	acceptCheckInterval = 5 * time.Millisecond
	// requestStartTimeout replaces the read deadline of a request whose first bytes arrived when the
	// deadline set by net/http had already passed.
	requestStartTimeout = 10 * time.Second
	// lingerTimeout and maxLingerBytes bound the reading of bytes after the last request of a
	// connection, which lets its answer arrive. The time is the one that net/http uses for
	// the same purpose; the size is enough for several requests.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// lingerCheckInterval is the interval at which the connection is checked for such bytes.
	lingerCheckInterval = 5 * time.Millisecond
)

// UnfinishedError reports that connections were still open when Shutdown's context ended.
type UnfinishedError struct {
	// Connections is the number of open connections.
	Connections int
	// Cause is the cause of the context.
	Cause error
}

func (e *UnfinishedError) Error() string {
	return strconv.Itoa(e.Connections) + " connections still open: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedError) Unwrap() error { return e.Cause }

// Server wraps an http.Server for HTTP/1.1 with a Shutdown that drops no request that has
// arrived.
type Server struct {
	http *http.Server
	// draining is true once Shutdown was called.
	draining atomic.Bool
	// closing is true once Close was called: connections are closed without lingering.
	closing atomic.Bool
	// acceptLoops counts the running accept loops.
	acceptLoops sync.WaitGroup

	mu        sync.Mutex
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
	// allClosed is set by Shutdown and closed when no connection is open.
	allClosed chan struct{}
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// NewServer returns a Server that uses server, which must not be serving yet. It sets the
// ConnState and ConnContext of server and wraps its Handler.
func NewServer(server *http.Server) *Server {
	s := &Server{http: server, listeners: map[*listener]struct{}{}, conns: map[*conn]struct{}{}}
	server.ConnState = s.connState
	server.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, raw)
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		serveAndDrainBody(handler, w, r)
	})
	return s
}

// Serve accepts and serves connections of a listener until Shutdown or Close. It then returns
// an error that wraps http.ErrServerClosed.
func (s *Server) Serve(inner net.Listener) error {
	l := &listener{Listener: inner, server: s}
	s.mu.Lock()
	if s.draining.Load() {
		s.mu.Unlock()
		return pkgerrors.WithStack(errors.Join(http.ErrServerClosed, inner.Close()))
	}
	s.listeners[l] = struct{}{}
	s.acceptLoops.Add(1)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.listeners, l)
		s.mu.Unlock()
		s.acceptLoops.Done()
	}()
	return s.http.Serve(l)
}

// Close closes listeners and connections immediately, without waiting for answers.
func (s *Server) Close() error {
	s.closing.Store(true)
	return pkgerrors.WithStack(s.http.Close())
}

// Shutdown stops accepting connections and closes each one as soon as it carries no request.
// It returns *UnfinishedError if ctx ends before all are closed; Close then closes the rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	s.mu.Lock()
	s.allClosed = make(chan struct{})
	if len(s.conns) == 0 {
		close(s.allClosed)
	}
	allClosed := s.allClosed
	openConns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		openConns = append(openConns, c)
	}
	s.mu.Unlock()
	for _, c := range openConns {
		c.interruptIdle()
	}
	graceTimer := time.AfterFunc(firstRequestGrace, func() {
		for _, c := range openConns {
			c.interruptAwaitingFirst()
		}
	})
	defer graceTimer.Stop()
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		return pkgerrors.WithStack(&UnfinishedError{Connections: len(s.conns), Cause: context.Cause(ctx)})
	}
}

// stopAccepting empties the accept queues and closes the listeners.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	s.draining.Store(true)
	for l := range s.listeners {
		l.scheduleQueueCheck()
	}
	s.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		s.acceptLoops.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(acceptQueueTimeout):
		s.mu.Lock()
		for l := range s.listeners {
			_ = l.Close()
		}
		s.mu.Unlock()
		<-stopped
	}
}

// connState is the ConnState hook of the http.Server.
func (s *Server) connState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.markIdle()
		if s.draining.Load() {
			c.interruptIdle()
		}
	case http.StateActive:
		c.markActive()
	}
}

// trackConn wraps an accepted connection and adds it to conns.
func (s *Server) trackConn(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, server: s, idle: true, awaitingFirst: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// untrackConn removes a closed connection and closes allClosed if it was the last one of a
// shutdown.
func (s *Server) untrackConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known {
		return
	}
	delete(s.conns, c)
	if s.allClosed != nil && len(s.conns) == 0 {
		close(s.allClosed)
	}
}

// listener is a listener whose Accept ends during a shutdown once the accept queue is empty.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. During a shutdown it returns http.ErrServerClosed once
// the accept queue is empty.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			return l.server.trackConn(raw), nil
		}
		if !l.server.draining.Load() {
			return nil, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !netpeek.Queued(l.Listener) {
			return nil, http.ErrServerClosed
		}
		l.scheduleQueueCheck()
	}
}

// scheduleQueueCheck sets a deadline after which Accept checks the queue. It closes the listener
// if that doesn't support deadlines.
func (l *listener) scheduleQueueCheck() {
	deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || deadliner.SetDeadline(time.Now().Add(acceptCheckInterval)) != nil {
		_ = l.Close()
	}
}
