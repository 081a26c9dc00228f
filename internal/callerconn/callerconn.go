// Package callerconn serves callers over HTTP/1.1 and ends their connections so that no
// request that has arrived is dropped. http.Server.Shutdown doesn't: it closes a
// connection that looks idle from outside while its goroutine may hold a request that it
// has just read, and drops every request that is read after its start.
//
// What holds at a stop (Shutdown):
//   - Connections that wait in the kernel's accept queue are accepted before the listener
//     is closed. One that arrives between the last look and the close is reset; none of
//     its bytes were read.
//   - A connection is ended only by the goroutine that reads it, at the place where it
//     waits for a request, and only if nothing of a request was read and the kernel holds
//     no byte of one. So a request that has arrived is answered, with "Connection: close".
//   - A request that arrives after that look crosses the close: none of its bytes were
//     read, and it reaches no handler.
//   - A connection that has carried no request yet is kept for freshGrace, as its caller
//     is about to send one.
//   - A connection whose answer began without "Connection: close" ends, by the same
//     rules, as soon as that answer is whole.
//   - Of two requests that were sent without waiting for the first answer, the second may
//     be dropped, as the first answer says that the connection closes. The first answer
//     arrives all the same: bytes behind it are read for a moment.
//
// The same look is taken before a connection is closed for having been idle too long. An
// answer that is given before the request's body was read, such as a refusal, isn't lost
// by closing the connection while the caller still sends: the rest is read first, within
// bounds of time and size.
//
// It knows nothing of what requests mean.
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
	// freshGrace is how long a connection may wait for its first request during a stop.
	// Callers send right after connecting; a packet lost on the way comes again after
	// 200 ms, the least time of TCP.
	freshGrace = 500 * time.Millisecond
	// acceptBound bounds emptying the accept queue. Accepting takes microseconds; only
	// callers that never cease to connect take longer.
	acceptBound = 200 * time.Millisecond
	// acceptWait is the time between two looks at the accept queue.
	acceptWait = 5 * time.Millisecond
	// startBound bounds the arrival of a request's first bytes where the server's own
	// bound is over already.
	startBound = 10 * time.Second
	// lingerBound and lingerBytes bound the reading of what comes behind the last request
	// of a connection, so that its answer arrives. The time is that of net/http for the
	// same purpose; the bytes are some requests.
	lingerBound = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// lingerWait is the time between two looks for more of it.
	lingerWait = 5 * time.Millisecond
)

// UnfinishedError says that connections were still open at the end of a stop.
type UnfinishedError struct {
	// Connections is the number of connections that are open.
	Connections int
	Cause       error
}

func (e *UnfinishedError) Error() string {
	return strconv.Itoa(e.Connections) + " connections still carry requests: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedError) Unwrap() error { return e.Cause }

// Server is an http.Server for HTTP/1.1 whose Shutdown drops no request.
type Server struct {
	http     *http.Server
	draining atomic.Bool
	// closing says that connections are closed at once.
	closing atomic.Bool
	// accepting counts the accept loops.
	accepting sync.WaitGroup

	mu        sync.Mutex
	listeners map[*listener]struct{}
	conns     map[*conn]struct{}
	// empty is closed when a stop has begun and no connection is left.
	empty chan struct{}
}

// NewServer takes over a server that doesn't serve yet. It sets its ConnState.
func NewServer(server *http.Server) *Server {
	s := &Server{http: server, listeners: map[*listener]struct{}{}, conns: map[*conn]struct{}{}}
	server.ConnState = s.connState
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		serveWhole(handler, w, r)
	})
	return s
}

// Serve serves the connections of a listener. After Shutdown or Close it returns
// http.ErrServerClosed.
func (s *Server) Serve(inner net.Listener) error {
	l := &listener{Listener: inner, server: s}
	s.mu.Lock()
	if s.draining.Load() {
		s.mu.Unlock()
		return pkgerrors.WithStack(errors.Join(http.ErrServerClosed, inner.Close()))
	}
	s.listeners[l] = struct{}{}
	s.accepting.Add(1)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.listeners, l)
		s.mu.Unlock()
		s.accepting.Done()
	}()
	return s.http.Serve(l)
}

// Close closes listeners and connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	return pkgerrors.WithStack(s.http.Close())
}

// Shutdown stops accepting and ends each connection as soon as it carries no request. It
// fails with *UnfinishedError when ctx is done before; Close then ends the rest.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopAccepting()
	s.mu.Lock()
	s.empty = make(chan struct{})
	if len(s.conns) == 0 {
		close(s.empty)
	}
	empty := s.empty
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.endIdle()
	}
	fresh := time.AfterFunc(freshGrace, func() {
		for _, c := range open {
			c.endFresh()
		}
	})
	defer fresh.Stop()
	select {
	case <-empty:
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
		l.wake()
	}
	s.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		s.accepting.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(acceptBound):
		s.mu.Lock()
		for l := range s.listeners {
			_ = l.Close()
		}
		s.mu.Unlock()
		<-stopped
	}
}

func (s *Server) connState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.becameIdle()
		if s.draining.Load() {
			c.endIdle()
		}
	case http.StateActive:
		c.started()
	}
}

func (s *Server) track(raw net.Conn) net.Conn {
	c := &conn{Conn: raw, server: s, idle: true, fresh: true}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known {
		return
	}
	delete(s.conns, c)
	if s.empty != nil && len(s.conns) == 0 {
		close(s.empty)
	}
}

// listener ends once its queue is empty after the start of a stop.
type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection, or http.ErrServerClosed during a stop.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			return l.server.track(raw), nil
		}
		if !l.server.draining.Load() {
			return nil, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !netpeek.Queued(l.Listener) {
			return nil, http.ErrServerClosed
		}
		l.wake()
	}
}

// wake makes Accept look at the queue soon.
func (l *listener) wake() {
	bounded, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || bounded.SetDeadline(time.Now().Add(acceptWait)) != nil {
		_ = l.Close()
	}
}
