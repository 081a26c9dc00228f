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
	// settle is long enough for a shutdown to check all connections.
	settle = 100 * time.Millisecond
	// patience is the timeout of operations that should take milliseconds.
	patience = 5 * time.Second
)

// gate blocks a goroutine once, if armed, as if the scheduler had preempted it there.
type gate struct {
	armed   atomic.Bool
	reached chan struct{}
	release chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan struct{}), release: make(chan struct{})} }

func (g *gate) pass() {
	if g.armed.Swap(false) {
		close(g.reached)
		<-g.release
	}
}

// heldListener has a gate in Accept, and its connections have gates before and after the
// system call in Read.
type heldListener struct {
	*net.TCPListener
	accept, before, after *gate
}

func (l *heldListener) Accept() (net.Conn, error) {
	l.accept.pass()
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(p []byte) (int, error) {
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

// stand is a running server that counts the requests that reach its handler.
type stand struct {
	c        *qt.C
	listener *heldListener
	server   *callerconn.Server
	served   atomic.Int64
	// stream blocks answers to /stream after their head until it is closed.
	stream chan struct{}
}

func newStand(t *testing.T) *stand {
	s := &stand{c: qt.New(t), stream: make(chan struct{})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	s.listener = &heldListener{TCPListener: inner.(*net.TCPListener), accept: newGate(), before: newGate(), after: newGate()}
	s.server = callerconn.NewServer(&http.Server{
		Handler:           http.HandlerFunc(s.answer),
		ReadHeaderTimeout: patience,
		IdleTimeout:       4 * settle,
	})
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(s.listener) }()
	t.Cleanup(func() {
		_ = s.server.Close()
		qt.Check(t, errors.Is(<-served, http.ErrServerClosed), qt.IsTrue)
	})
	return s
}

func (s *stand) answer(w http.ResponseWriter, r *http.Request) {
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

// stop calls Shutdown with a timeout. It returns a channel that receives the result.
func (s *stand) stop(within time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		done <- s.server.Shutdown(ctx)
	}()
	time.Sleep(settle)
	return done
}

func (s *stand) dial() *caller {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	s.c.Assert(conn.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	return &caller{c: s.c, Conn: conn, reader: bufio.NewReader(conn)}
}

// used returns a connection that has carried one request.
func (s *stand) used() *caller {
	one := s.dial()
	one.send("first")
	one.expect("got first")
	return one
}

type caller struct {
	net.Conn
	c      *qt.C
	reader *bufio.Reader
}

func (o *caller) send(body string) { o.sendTo("/", body) }

func (o *caller) sendTo(path, body string) {
	_, err := fmt.Fprintf(o.Conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	o.c.Assert(err, qt.IsNil)
}

func (o *caller) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(o.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (o *caller) expect(body string) *http.Response {
	o.c.Helper()
	response, got, err := o.receive()
	o.c.Assert(err, qt.IsNil)
	o.c.Assert(got, qt.Equals, body)
	return response
}

func (o *caller) expectEnd() {
	o.c.Helper()
	_, err := o.reader.ReadByte()
	o.c.Assert(err, qt.Equals, io.EOF)
}

func await(c *qt.C, what string, ch <-chan struct{}) {
	c.Helper()
	select {
	case <-ch:
	case <-time.After(patience):
		c.Fatal("not reached: " + what)
	}
}

// TestRequestReadBeforeTheStopIsAnswered guards against closing a connection as idle after
// its goroutine has read a request that net/http hasn't parsed yet.
func TestRequestReadBeforeTheStopIsAnswered(t *testing.T) {
	s := newStand(t)
	one := s.used()
	s.listener.after.armed.Store(true)
	one.send("second")
	await(s.c, "the request is read", s.listener.after.reached)
	done := s.stop(patience)
	close(s.listener.after.release)
	response := one.expect("got second")
	s.c.Assert(response.Close, qt.IsTrue)
	one.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
}

// TestRequestInTheKernelIsAnswered guards against closing an idle connection whose next
// request has arrived in the kernel but hasn't been read yet.
func TestRequestInTheKernelIsAnswered(t *testing.T) {
	s := newStand(t)
	s.listener.before.armed.Store(true)
	one := s.dial()
	await(s.c, "the goroutine is about to read", s.listener.before.reached)
	one.send("first")
	done := s.stop(patience)
	time.Sleep(2 * settle)
	close(s.listener.before.release)
	response := one.expect("got first")
	s.c.Assert(response.Close, qt.IsTrue)
	s.c.Assert(<-done, qt.IsNil)
}

// TestRequestAtTheIdleTimeoutIsAnswered guards against closing a connection at the idle
// timeout although a request has arrived in the kernel.
func TestRequestAtTheIdleTimeoutIsAnswered(t *testing.T) {
	s := newStand(t)
	one := s.dial()
	s.listener.after.armed.Store(true)
	one.send("first")
	await(s.c, "the request is read", s.listener.after.reached)
	s.listener.before.armed.Store(true)
	close(s.listener.after.release)
	one.expect("got first")
	await(s.c, "the goroutine reads on", s.listener.before.reached)
	one.send("second")
	time.Sleep(6 * settle)
	close(s.listener.before.release)
	one.expect("got second")
}

// TestNewConnectionIsServedDuringTheStop guards against dropping the first request of a
// connection that was opened just before the shutdown.
func TestNewConnectionIsServedDuringTheStop(t *testing.T) {
	s := newStand(t)
	one, silent := s.dial(), s.dial()
	time.Sleep(settle)
	began := time.Now()
	done := s.stop(patience)
	one.send("first")
	response := one.expect("got first")
	s.c.Assert(response.Close, qt.IsTrue)
	silent.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
	s.c.Assert(time.Since(began) < patience/2, qt.IsTrue)
}

// TestQueuedConnectionIsServed guards against resetting connections in the kernel's accept
// queue.
func TestQueuedConnectionIsServed(t *testing.T) {
	s := newStand(t)
	s.listener.accept.armed.Store(true)
	s.dial()
	await(s.c, "the accept loop", s.listener.accept.reached)
	waiting := []*caller{s.dial(), s.dial()}
	for _, one := range waiting {
		one.send("first")
	}
	done := s.stop(patience)
	close(s.listener.accept.release)
	for _, one := range waiting {
		one.expect("got first")
	}
	s.c.Assert(<-done, qt.IsNil)
	_, err := net.Dial("tcp", s.listener.Addr().String())
	s.c.Assert(err, qt.IsNotNil)
}

func TestIdleConnectionEndsAtOnce(t *testing.T) {
	s := newStand(t)
	one := s.used()
	began := time.Now()
	done := s.stop(patience)
	one.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
	s.c.Assert(time.Since(began) < 4*settle, qt.IsTrue)
}

// TestAnswerThatBeganBeforeTheStopEndsItsConnection checks that a connection is closed after
// an answer whose head was sent, without "Connection: close", before the shutdown.
func TestAnswerThatBeganBeforeTheStopEndsItsConnection(t *testing.T) {
	s := newStand(t)
	one := s.dial()
	one.sendTo("/stream", "first")
	response, err := http.ReadResponse(one.reader, nil)
	s.c.Assert(err, qt.IsNil)
	done := s.stop(patience)
	close(s.stream)
	body, err := io.ReadAll(response.Body)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(string(body), qt.Equals, "got first")
	one.expectEnd()
	s.c.Assert(<-done, qt.IsNil)
}

func TestUnfinishedRequestsAreCounted(t *testing.T) {
	s := newStand(t)
	one := s.dial()
	one.sendTo("/stream", "first")
	_, err := http.ReadResponse(one.reader, nil)
	s.c.Assert(err, qt.IsNil)
	var unfinished *callerconn.UnfinishedError
	s.c.Assert(errors.As(<-s.stop(2*settle), &unfinished), qt.IsTrue)
	s.c.Assert(unfinished.Connections, qt.Equals, 1)
	close(s.stream)
}

// TestNoServedRequestLosesItsAnswer shuts down a server under load. Every request that
// reached the handler must be answered completely, also those of callers that send one request
// after the other until an answer announces the close.
func TestNoServedRequestLosesItsAnswer(t *testing.T) {
	s := newStand(t)
	var answered atomic.Int64
	var callers sync.WaitGroup
	for i := range 64 {
		one := s.dial()
		callers.Go(func() {
			body := strings.Repeat("x", 1+i*100)
			for {
				if _, err := fmt.Fprintf(one.Conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
					return
				}
				response, got, err := one.receive()
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
	time.Sleep(settle)
	s.c.Assert(<-s.stop(patience), qt.IsNil)
	callers.Wait()
	s.c.Assert(answered.Load(), qt.Equals, s.served.Load())
}

// TestRefusalOutlivesTheBody guards against losing an early refusal because the connection is
// reset when the rest of the request body arrives on a closed socket.
func TestRefusalOutlivesTheBody(t *testing.T) {
	for _, path := range []string{"/refuse", "/refuse?close", "/limit", "/limit?close"} {
		for _, size := range []int{2 << 10, 60 << 10, 300 << 10, 2 << 20} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, chunked %t", path, size, chunked), func(t *testing.T) {
					t.Parallel()
					newStand(t).dial().refusedWhileSending(path, size, chunked)
				})
			}
		}
	}
}

// refusedWhileSending sends a body slowly, over 8*settle, reads the answer only afterwards and
// expects a refusal.
func (o *caller) refusedWhileSending(path string, size int, chunked bool) {
	const parts = 4
	length := fmt.Sprint("Content-Length: ", size)
	if chunked {
		length = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(o.Conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n", path, length)
	o.c.Assert(err, qt.IsNil)
	part := strings.Repeat("x", size/parts)
	for i := range parts {
		time.Sleep(2 * settle)
		text := part
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			if i == parts-1 {
				text += "0\r\n\r\n"
			}
		}
		_, err := io.WriteString(o.Conn, text)
		o.c.Assert(err, qt.IsNil)
	}
	response, _, err := o.receive()
	o.c.Assert(err, qt.IsNil)
	o.c.Assert(response.StatusCode >= http.StatusBadRequest, qt.IsTrue)
}
