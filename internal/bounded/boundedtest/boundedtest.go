// Package boundedtest plays servers that send bytes without end, for tests.
package boundedtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// maxSent is what a server sends that would send without end: more than any reader takes.
	maxSent = 256 << 20
	// SocketBytes is what the buffers of two sockets take at most with the usual settings
	// of Linux (tcp_rmem, tcp_wmem) beside what the reader has read.
	SocketBytes = 48 << 20
	// DripTime is how long a drip lasts: longer than any reader waits.
	DripTime = time.Minute
)

// Server answers every request with the same bytes, of which the last come on and on.
type Server struct {
	Address string
	// Sent is the number of bytes that it got rid of.
	Sent atomic.Int64
}

// Serve starts a server on loopback that ends with the test.
func Serve(t testing.TB, begin, repeat string) *Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn, begin, repeat)
		}
	}()
	return s
}

func (s *Server) serveConn(conn net.Conn, begin, repeat string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	block := strings.Repeat(repeat, 1+(64<<10)/len(repeat))
	_, err = io.WriteString(conn, begin)
	for err == nil && s.Sent.Load() < maxSent {
		var n int
		n, err = io.WriteString(conn, block)
		s.Sent.Add(int64(n))
	}
}

// Pipes answers over connections in memory, for virtual time: a busy machine doesn't make
// it late, and what it got rid of is what was read.
type Pipes struct {
	Begin, Repeat string
	// Pause is the time between two repetitions; 0: they come at full speed.
	Pause time.Duration
	// Sent is the number of bytes that were read.
	Sent atomic.Int64
}

// Dial opens a connection to a server that answers one request.
func (p *Pipes) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go p.serveConn(server)
	return client, nil
}

func (p *Pipes) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	block, started := p.Begin, time.Now()
	for err == nil && p.Sent.Load() < maxSent && time.Since(started) < DripTime {
		var n int
		n, err = io.WriteString(conn, block)
		p.Sent.Add(int64(n))
		if block = p.Repeat; p.Pause > 0 {
			time.Sleep(p.Pause)
			continue
		}
		block = strings.Repeat(p.Repeat, 1+(64<<10)/len(p.Repeat))
	}
}

// Answers are the beginnings of answers of HTTP, by the part that has no end, with what
// comes on and on.
func Answers() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	return map[string][2]string{
		"status line": {"HTTP/1.1 200 ", "O"},
		"headers":     {head, "X: y\r\n"},
		"interim":     {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"body":        {head + "\r\n", " "},
		"text":        {head + "\r\n{\"a\":\"", "x"},
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat(" ", 1024) + "\r\n"},
		"failure":     {strings.Replace(head, "200 OK", "500 X", 1) + "\r\n", "x"},
	}
}
