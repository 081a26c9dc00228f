package connguard_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/connguard"
)

// served is a guarded server whose handler waits for release on the path /slow.
type served struct {
	c       *qt.C
	address string
	guard   *connguard.Guard
	release chan struct{}
	// slow is the number of requests that have begun to wait.
	slow atomic.Int64
	// idle is the number of times that the guard has been told that a connection has become idle.
	idle atomic.Int64
}

func serve(t *testing.T, connections int, head, total int64) *served {
	c := qt.New(t)
	s := &served{c: c, release: make(chan struct{})}
	var err error
	s.guard, err = connguard.New(connguard.Options{
		Name: "test", Logger: zerolog.Nop(),
		Limits: connguard.Limits{Connections: connections, HeadBytes: func() int64 { return head }, TotalHeadBytes: total},
	})
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			s.slow.Add(1)
			<-s.release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			s.idle.Add(1)
		}
	}
	s.guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(s.guard.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial opens a connection and sends text on it.
func (s *served) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	// The guard may already have closed the connection.
	_, _ = io.WriteString(conn, text)
	return conn
}

// answered reports whether a connection delivers a response of status 200.
func answered(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// closed reports whether a connection is closed without a response.
func closed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

// waitFor waits until there are a number of connections, a number of them with a slow request.
func (s *served) waitFor(connections int, slow int64) {
	for deadline := time.Now().Add(5 * time.Second); s.guard.Connections() != connections || s.slow.Load() != slow; time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d connections, %d slow requests", s.guard.Connections(), s.slow.Load()))
	}
}

const request = "GET /fast HTTP/1.1\r\nHost: h\r\n\r\n"

// Heads over the limit, also those of empty lines, must end their connection, and complete ones within it be served,
// again and again on one connection.
func TestLargeHeadEndsItsConnection(t *testing.T) {
	s := serve(t, 10, 4096, 1<<20)
	for _, text := range []string{
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 9000), "GET /" + strings.Repeat("x", 9000),
		"GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 2000),
	} {
		s.c.Check(closed(s.dial(text)), qt.IsTrue, qt.Commentf("%.30s", text))
	}
	conn := s.dial("")
	for range 50 {
		_, err := io.WriteString(conn, "GET /fast HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 2000)+"\r\n\r\n")
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(answered(conn), qt.IsTrue)
	}
}

// If the incomplete heads are too large together, the largest one gives way.
func TestLargestHeadGivesWay(t *testing.T) {
	s := serve(t, 10, 1<<20, 4096)
	small := s.dial("GET /fast HTTP/1.1\r\n")
	large := s.dial("GET /fast HTTP/1.1\r\nX: " + strings.Repeat("x", 3000))
	s.waitFor(2, 0)
	other := s.dial("GET /fast HTTP/1.1\r\nX: " + strings.Repeat("x", 2000))
	s.c.Check(closed(large), qt.IsTrue)
	for conn, rest := range map[net.Conn]string{small: "Host: h\r\n\r\n", other: "\r\nHost: h\r\n\r\n"} {
		_, err := io.WriteString(conn, rest)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(answered(conn), qt.IsTrue)
	}
}

// A new connection takes the place of the one that has been silent for longest, never of one with a request; if all
// have one, it is closed.
func TestSilentConnectionGivesWay(t *testing.T) {
	s := serve(t, 3, 4096, 1<<20)
	busy := s.dial(strings.Replace(request, "fast", "slow", 1))
	s.waitFor(1, 1)
	served := s.dial(request)
	s.c.Assert(answered(served), qt.IsTrue)
	// The client has its answer before the server takes the connection as idle.
	for deadline := time.Now().Add(5 * time.Second); s.idle.Load() == 0; time.Sleep(time.Millisecond) {
		s.c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	silent := s.dial("")
	s.waitFor(3, 1)
	newest := s.dial(request)
	s.c.Check(answered(newest), qt.IsTrue)
	s.c.Check(closed(silent), qt.IsTrue)
	s.c.Assert(newest.Close(), qt.IsNil)
	s.waitFor(2, 1)
	// Two requests that come together: the second one isn't reported by net/http.
	pipelined := s.dial(request + strings.Replace(request, "fast", "slow", 1))
	reader := bufio.NewReader(pipelined)
	first, err := http.ReadResponse(reader, nil)
	s.c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, first.Body)
	s.c.Assert(err, qt.IsNil)
	s.waitFor(3, 2)
	third := s.dial(strings.Replace(request, "fast", "slow", 1))
	s.waitFor(3, 3)
	s.c.Check(closed(s.dial(request)), qt.IsTrue, qt.Commentf("all have a request"))
	close(s.release)
	second, err := http.ReadResponse(reader, nil)
	s.c.Assert(err, qt.IsNil)
	s.c.Check(second.StatusCode, qt.Equals, http.StatusOK)
	s.c.Check(answered(busy), qt.IsTrue)
	s.c.Check(answered(third), qt.IsTrue)
}
