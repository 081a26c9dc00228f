package transport_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// trackedServer is a server whose connections are tracked.
type trackedServer struct {
	c           *qt.C
	connections *transport.Connections
	server      *http.Server
	address     string
	mu          sync.Mutex
	logs        bytes.Buffer
	// contexts receives the context of each connection.
	contexts chan context.Context
}

func (w *trackedServer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logs.Write(p)
}

func newTrackedServer(t *testing.T, idleTimeout time.Duration, handler http.HandlerFunc) *trackedServer {
	c := qt.New(t)
	w := &trackedServer{c: c, contexts: make(chan context.Context, 100), server: &http.Server{Handler: handler, IdleTimeout: idleTimeout}}
	var err error
	w.connections, err = transport.NewConnections(zerolog.New(w), nil)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w.address = listener.Addr().String()
	served := make(chan error, 1)
	w.connections.Observe(w.server)
	trackContext := w.server.ConnContext
	w.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		ctx = trackContext(ctx, conn)
		w.contexts <- ctx
		return ctx
	}
	go func() { served <- w.server.Serve(w.connections.Listener(listener)) }()
	t.Cleanup(func() {
		_ = w.server.Close()
		c.Check(errors.Is(<-served, http.ErrServerClosed), qt.IsTrue)
	})
	return w
}

func (w *trackedServer) dial() net.Conn {
	conn, err := net.Dial("tcp", w.address)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { conn.Close() })
	return conn
}

func (w *trackedServer) eventually(condition string, ok func(transport.ConnectionCounts) bool) {
	w.c.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok(w.connections.Counts()) {
			return
		}
	}
	w.c.Fatalf("not within 5 s: %s: %+v", condition, w.connections.Counts())
}

const completeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func TestIdleConnectionsThatTheServerClosesAreCounted(t *testing.T) {
	w := newTrackedServer(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	var buffer [256]byte
	_, err := conn.Read(buffer[:])
	w.c.Assert(err, qt.IsNil)
	w.eventually("idle", func(n transport.ConnectionCounts) bool { return n.Open == 1 && n.Active == 0 })
	w.c.Assert(w.server.Shutdown(t.Context()), qt.IsNil)
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 && n.ClosedIdle == 1 })
	w.c.Assert(w.connections.Counts().ClosedArriving, qt.Equals, int64(0))
	w.c.Assert(w.logs.Len(), qt.Equals, 0)
}

func TestConnectionsThatCallersCloseAreNotCounted(t *testing.T) {
	w := newTrackedServer(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	w.eventually("idle", func(n transport.ConnectionCounts) bool { return n.Open == 1 && n.Active == 0 })
	conn.Close()
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 })
	partial := w.dial()
	fmt.Fprint(partial, "GET / HTTP/1.1\r\n")
	w.eventually("open", func(n transport.ConnectionCounts) bool { return n.Open == 1 })
	partial.Close()
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 })
	w.c.Assert(w.connections.Counts(), qt.Equals, transport.ConnectionCounts{})
	w.c.Assert(w.logs.Len(), qt.Equals, 0)
}

// Guards against a leak: the context of a connection that its caller closed was never cancelled and
// stayed registered with the parent context.
func TestContextOfAClosedConnectionEnds(t *testing.T) {
	w := newTrackedServer(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	ctx := <-w.contexts
	w.c.Assert(ctx.Err(), qt.IsNil)
	conn.Close()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		w.c.Fatal("the context has not ended")
	}
}

// If part of a request has arrived when the server closes the connection as idle, the caller loses
// that request. The log must show it.
func TestConnectionClosedWhileARequestArrivesIsLogged(t *testing.T) {
	w := newTrackedServer(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	var buffer [256]byte
	_, err := conn.Read(buffer[:])
	w.c.Assert(err, qt.IsNil)
	w.eventually("idle", func(n transport.ConnectionCounts) bool { return n.Open == 1 && n.Active == 0 })
	fmt.Fprint(conn, "GET /next HTTP/1.1\r\n")
	// Gives the server time to read the bytes; otherwise they count as unread.
	time.Sleep(50 * time.Millisecond)
	w.connections.MarkStopping()
	w.c.Assert(w.server.Shutdown(t.Context()), qt.IsNil)
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.ClosedArriving == 1 })
	w.eventually("line", func(transport.ConnectionCounts) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.logs.Len() > 0
	})
	var line map[string]any
	w.c.Assert(json.Unmarshal(w.logs.Bytes(), &line), qt.IsNil)
	w.c.Assert(line["outcome"], qt.Equals, "closed with a request arriving")
	w.c.Assert(line["reason"], qt.Equals, "stop")
	w.c.Assert(line["received"], qt.Equals, float64(len("GET /next HTTP/1.1\r\n")))
}

func TestIdleTimeoutIsCountedOnce(t *testing.T) {
	w := newTrackedServer(t, 20*time.Millisecond, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	_, err := io.ReadAll(conn)
	w.c.Assert(err, qt.IsNil)
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 && n.ClosedIdle == 1 })
	w.c.Assert(w.connections.Counts().ClosedArriving, qt.Equals, int64(0))
}

// A malformed request does not reach a handler, so this log line is the only record of it.
func TestMalformedRequestIsLogged(t *testing.T) {
	w := newTrackedServer(t, time.Minute, func(http.ResponseWriter, *http.Request) {})
	conn := w.dial()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\nno header\r\n\r\n")
	_, err := io.ReadAll(conn)
	w.c.Assert(err, qt.IsNil)
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 && n.ClosedArriving == 1 })
	w.eventually("line", func(transport.ConnectionCounts) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return bytes.Contains(w.logs.Bytes(), []byte(`"reason":"refused"`))
	})
}

// Guards against counting a connection as closed idle that is closed during a running request.
func TestActiveConnectionIsNotCountedAsClosedIdle(t *testing.T) {
	running := make(chan context.Context)
	w := newTrackedServer(t, time.Minute, func(_ http.ResponseWriter, r *http.Request) {
		running <- r.Context()
		<-r.Context().Done()
	})
	conn := w.dial()
	fmt.Fprint(conn, completeRequest)
	ctx := <-running
	w.c.Assert(w.connections.Counts().Active, qt.Equals, int64(1))
	w.c.Assert(w.server.Close(), qt.IsNil)
	<-ctx.Done()
	_, err := io.ReadAll(conn)
	w.c.Assert(err, qt.IsNil)
	w.eventually("closed", func(n transport.ConnectionCounts) bool { return n.Open == 0 })
	w.c.Assert(w.connections.Counts().ClosedIdle, qt.Equals, int64(0))
	var idle *transport.ClosedIdleError
	w.c.Assert(errors.As(context.Cause(ctx), &idle), qt.IsFalse)
}
