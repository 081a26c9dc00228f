// Package boundedtest provides test servers that send endless responses.
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
	// maxSent bounds the length of an endless response. It exceeds what any reader accepts.
	maxSent = 256 << 20
	// SocketBufferBytes is the maximum size of the buffers of two sockets with the usual settings of
	// Linux (tcp_rmem, tcp_wmem), in addition to what the reader has read.
	SocketBufferBytes = 48 << 20
	// DripTime is the duration of a slow response. It exceeds the timeout of any reader.
	DripTime = time.Minute
)

// Server sends the same response to every request. The end of the response repeats endlessly.
type Server struct {
	Address string
	// Sent is the number of repeated bytes written to connections.
	Sent atomic.Int64
}

// Serve starts a server on the loopback interface and stops it at the end of the test.
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

// PipeServer responds over in-memory connections, for tests in virtual time: machine load
// does not delay the responses, and only bytes that were read count as sent.
type PipeServer struct {
	Begin, Repeat string
	// Pause is the time between two repetitions; 0 sends them without delay.
	Pause time.Duration
	// Sent is the number of bytes read by the clients.
	Sent atomic.Int64
}

// Dial opens a connection to a server that responds to one request.
func (p *PipeServer) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go p.serveConn(server)
	return client, nil
}

func (p *PipeServer) serveConn(conn net.Conn) {
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

// EndlessResponses returns the start and the endlessly repeated rest of HTTP responses, by
// the part of the response that is endless.
func EndlessResponses() map[string][2]string {
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
