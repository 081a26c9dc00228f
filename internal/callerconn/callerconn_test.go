package callerconn_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/callerconn"
)

const (
	// settleTime is long enough for a shutdown to check all connections.
	settleTime = 100 * time.Millisecond
	// operationTimeout is the timeout of operations that should take milliseconds.
	operationTimeout = 5 * time.Second
)

// gate blocks a goroutine once, if armed, as if the scheduler had preempted it there.
type gate struct {
	armed   atomic.Bool
	reached chan struct{}
	release chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan struct{}), release: make(chan struct{})} }

// pass blocks until release is closed if the gate is armed, and disarms it.
func (g *gate) pass() {
	if g.armed.Swap(false) {
		close(g.reached)
		<-g.release
	}
}

// gatedListener has a gate in Accept, and its connections have gates before and after the
// system call in Read.
type gatedListener struct {
	*net.TCPListener
	accept, before, after *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	l.accept.pass()
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type gatedConn struct {
	*net.TCPConn
	listener *gatedListener
}

func (c *gatedConn) Read(p []byte) (int, error) {
	// A read of one byte is the background read of net/http while a handler runs.
	if len(p) > 1 {
		c.listener.before.pass()
	}
	n, err := c.TCPConn.Read(p)
	if bytes.Contains(p[:n], []byte("\r\n\r\n")) {
		c.listener.after.pass()
	}
	return n, err
}

// testServer is a running server that counts the requests that reach its handler.
type testServer struct {
	c        *qt.C
	listener *gatedListener
	server   *callerconn.Server
	served   atomic.Int64
	// stream blocks answers to /stream after their head until it is closed.
	stream chan struct{}
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{c: qt.New(t), stream: make(chan struct{})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.listener = &gatedListener{TCPListener: inner.(*net.TCPListener), accept: newGate(), before: newGate(), after: newGate()}
	s.server = callerconn.NewServer(&http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: operationTimeout,
		IdleTimeout:       4 * settleTime,
	})
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		qt.Check(t, errors.Is(<-served, http.ErrServerClosed), qt.IsTrue)
	})
	return s
}

func (s *testServer) handle(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)
	if r.URL.RawQuery == "close" {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/refuse" {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/limit" {
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
		qt.Check(s.c, err, qt.IsNotNil)
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/stream" {
		_ = http.NewResponseController(w).Flush()
		<-s.stream
	}
	_, _ = w.Write(append([]byte("got "), body...))
}

// beginShutdown calls Shutdown with a timeout. It returns a channel that receives the result.
func (s *testServer) beginShutdown(timeout time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		done <- s.server.Shutdown(ctx)
	}()
	time.Sleep(settleTime)
	return done
}

func (s *testServer) dial() *testClient {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	s.c.Assert(conn.SetDeadline(time.Now().Add(operationTimeout)), qt.IsNil)
	return &testClient{c: s.c, Conn: conn, reader: bufio.NewReader(conn)}
}

// dialUsed returns a connection that has carried one request.
func (s *testServer) dialUsed() *testClient {
	client := s.dial()
	client.send("first")
	client.expect("got first")
	return client
}

// testClient is a caller with one connection.
type testClient struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func (client *testClient) send(body string) { client.sendTo("/", body) }

func (client *testClient) sendTo(path, body string) {
	_, err := fmt.Fprintf(client.Conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	client.c.Assert(err, qt.IsNil)
}

func (client *testClient) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (client *testClient) expect(body string) *http.Response {
	client.c.Helper()
	response, got, err := client.receive()
	client.c.Assert(err, qt.IsNil)
	client.c.Assert(got, qt.Equals, body)
	return response
}

func (client *testClient) expectEnd() {
	client.c.Helper()
	_, err := client.reader.ReadByte()
	client.c.Assert(err, qt.Equals, io.EOF)
}

// await waits for ch to be closed and fails the test after operationTimeout.
func await(c *qt.C, event string, ch <-chan struct{}) {
	c.Helper()
	select {
	case <-ch:
	case <-time.After(operationTimeout):
		c.Fatal("not reached: " + event)
	}
}

// TestRequestReadBeforeTheStopIsAnswered guards against closing a connection as idle after
// its goroutine has read a request that net/http hasn't parsed yet.
func TestRequestReadBeforeTheStopIsAnswered(t *testing.T) {
	s := newTestServer(t)
	client := s.dialUsed()
	s.listener.after.armed.Store(true)
	client.send("second")
	await(s.c, "the request is read", s.listener.after.reached)
	done := s.beginShutdown(operationTimeout)
	close(s.listener.after.release)
	response := client.expect("got second")
	s.c.Assert(response.Close, qt.IsTrue)
	client.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
}

// TestRequestInTheKernelIsAnswered guards against closing an idle connection whose next
// request has arrived in the kernel but hasn't been read yet.
func TestRequestInTheKernelIsAnswered(t *testing.T) {
	s := newTestServer(t)
	s.listener.before.armed.Store(true)
	client := s.dial()
	await(s.c, "the goroutine is about to read", s.listener.before.reached)
	client.send("first")
	done := s.beginShutdown(operationTimeout)
	time.Sleep(2 * settleTime)
	close(s.listener.before.release)
	response := client.expect("got first")
	s.c.Assert(response.Close, qt.IsTrue)
	s.c.Assert(<-done, qt.IsNil)
}

// TestRequestAtTheIdleTimeoutIsAnswered guards against closing a connection at the idle
// timeout although a request has arrived in the kernel.
func TestRequestAtTheIdleTimeoutIsAnswered(t *testing.T) {
	s := newTestServer(t)
	client := s.dial()
	s.listener.after.armed.Store(true)
	client.send("first")
	await(s.c, "the request is read", s.listener.after.reached)
	s.listener.before.armed.Store(true)
	close(s.listener.after.release)
	client.expect("got first")
	await(s.c, "the goroutine reads on", s.listener.before.reached)
	client.send("second")
	time.Sleep(6 * settleTime)
	close(s.listener.before.release)
	client.expect("got second")
}

// TestNewConnectionIsServedDuringTheStop guards against dropping the first request of a
// connection that was opened just before the shutdown.
func TestNewConnectionIsServedDuringTheStop(t *testing.T) {
	s := newTestServer(t)
	client, silent := s.dial(), s.dial()
	time.Sleep(settleTime)
	began := time.Now()
	done := s.beginShutdown(operationTimeout)
	client.send("first")
	response := client.expect("got first")
	s.c.Assert(response.Close, qt.IsTrue)
	silent.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
	s.c.Assert(time.Since(began) < operationTimeout/2, qt.IsTrue)
}

// TestQueuedConnectionIsServed guards against resetting connections in the kernel's accept
// queue.
func TestQueuedConnectionIsServed(t *testing.T) {
	s := newTestServer(t)
	s.listener.accept.armed.Store(true)
	s.dial()
	await(s.c, "the accept loop", s.listener.accept.reached)
	waiting := []*testClient{s.dial(), s.dial()}
	for _, client := range waiting {
		client.send("first")
	}
	done := s.beginShutdown(operationTimeout)
	close(s.listener.accept.release)
	for _, client := range waiting {
		client.expect("got first")
	}
	s.c.Assert(<-done, qt.IsNil)
	_, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, qt.IsNotNil)
}

func TestIdleConnectionEndsAtOnce(t *testing.T) {
	s := newTestServer(t)
	client := s.dialUsed()
	began := time.Now()
	done := s.beginShutdown(operationTimeout)
	client.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
	s.c.Assert(time.Since(began) < 4*settleTime, qt.IsTrue)
}

// TestAnswerThatBeganBeforeTheStopEndsItsConnection checks that a connection is closed after
// an answer whose head was sent, without "Connection: close", before the shutdown.
func TestAnswerThatBeganBeforeTheStopEndsItsConnection(t *testing.T) {
	s := newTestServer(t)
	client := s.dial()
	client.sendTo("/stream", "first")
	response, err := http.ReadResponse(client.reader, nil)
	s.c.Assert(err, qt.IsNil)
	done := s.beginShutdown(operationTimeout)
	close(s.stream)
	body, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(string(body), qt.Equals, "got first")
	client.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
}

func TestUnfinishedRequestsAreCounted(t *testing.T) {
	s := newTestServer(t)
	client := s.dial()
	client.sendTo("/stream", "first")
	_, err := http.ReadResponse(client.reader, nil)
	s.c.Assert(err, qt.IsNil)
	var unfinished *callerconn.UnfinishedError
	s.c.Assert(errors.As(<-s.beginShutdown(2*settleTime), &unfinished), qt.IsTrue)
	s.c.Assert(unfinished.Connections, qt.Equals, 1)
	close(s.stream)
}

// TestNoServedRequestLosesItsAnswer shuts down a server under load. Every request that
// reached the handler must be answered completely, also those of callers that send one request
// after the other until an answer announces the close.
func TestNoServedRequestLosesItsAnswer(t *testing.T) {
	s := newTestServer(t)
	var answered atomic.Int64
	var callers sync.WaitGroup
	for i := range 64 {
		client := s.dial()
		callers.Go(func() {
			body := strings.Repeat("x", 1+i*100)
			for {
				if _, err := fmt.Fprintf(client.Conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
					return
				}
				response, got, err := client.receive()
				if err != nil {
					return
				}
				if got == "got "+body {
					answered.Add(1)
				}
				if response.Close {
					return
				}
				if i%2 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	time.Sleep(settleTime)
	s.c.Assert(<-s.beginShutdown(operationTimeout), qt.IsNil)
	callers.Wait()
	s.c.Assert(answered.Load(), qt.Equals, s.served.Load())
}

// TestEarlyRefusalIsDelivered guards against losing an early refusal because the connection is
// reset when the rest of the request body arrives on a closed socket.
func TestEarlyRefusalIsDelivered(t *testing.T) {
	for _, path := range []string{"/refuse", "/refuse?close", "/limit", "/limit?close"} {
		for _, size := range []int{2 << 10, 60 << 10, 300 << 10, 2 << 20} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, chunked %t", path, size, chunked), func(t *testing.T) {
					t.Parallel()
					newTestServer(t).dial().expectRefusalWhileSending(path, size, chunked)
				})
			}
		}
	}
}

// expectRefusalWhileSending sends a body slowly, over 8*settleTime, reads the answer only
// afterwards and expects a refusal.
func (client *testClient) expectRefusalWhileSending(path string, size int, chunked bool) {
	const parts = 4
	length := fmt.Sprint("Content-Length: ", size)
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(client.Conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", path, length)
	client.c.Assert(err, qt.IsNil)
	part := strings.Repeat("x", size/parts)
	for i := range parts {
		time.Sleep(2 * settleTime)
		text := part
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			if i == parts-1 {
				text += "0\r\n\r\n"
			}
		}
		_, err := io.WriteString(client.Conn, text)
		client.c.Assert(err, qt.IsNil)
	}
	response, _, err := client.receive()
	client.c.Assert(err, qt.IsNil)
	client.c.Assert(response.StatusCode >= http.StatusBadRequest, qt.IsTrue)
}
