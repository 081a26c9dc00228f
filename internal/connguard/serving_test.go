package connguard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/connguard"
)

// maxPipelined is the limit of the package.
const maxPipelined = 16

// responses reads responses from a connection until it ends, and returns their number and whether the last one
// announced the end.
func responses(c *qt.C, conn net.Conn) (n int, closing bool) {
	c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return n, closing
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		n, closing = n+1, response.Close
		if closing {
			return n, closing
		}
	}
}

// A client that sends requests ahead of their answers must get up to the limit, and then an answer that announces the end.
func TestPipelinedRequestsEndTheirConnection(t *testing.T) {
	s := serve(t, 10, 4096, 1<<20)
	n, closing := responses(s.c, s.dial(strings.Repeat(request, 1000)))
	s.c.Check(n, qt.Equals, maxPipelined+1)
	s.c.Check(closing, qt.IsTrue)
}

// Requests that are sent one after the other, each right after the first byte of the answer to the one before, are not
// pipelined, and neither are fewer than the limit.
func TestFastClientKeepsItsConnection(t *testing.T) {
	s := serve(t, 10, 4096, 1<<20)
	conn := s.dial(strings.Repeat(request, maxPipelined))
	reader := bufio.NewReader(conn)
	read := func() {
		response, err := http.ReadResponse(reader, nil)
		s.c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(response.Close, qt.IsFalse)
	}
	for range maxPipelined {
		read()
	}
	for range 10 * maxPipelined {
		_, err := io.WriteString(conn, request)
		s.c.Assert(err, qt.IsNil)
		read()
	}
}

// A request must end when its client leaves, also if bytes of a further request have come before.
func TestRequestEndsWithItsPipeliningClient(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	began := make(chan struct{}, 1)
	address := serveHandler(c, connguard.Limits{Connections: 10, HeadBytes: func() int64 { return 4096 }, TotalHeadBytes: 1 << 20}, func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		ended <- context.Cause(r.Context())
	})
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	<-began
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	// The first byte must have been read before the connection is closed.
	time.Sleep(100 * time.Millisecond)
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the request went on")
	}
}

// serveHandler serves a handler behind a guard and returns its address.
func serveHandler(c *qt.C, limits connguard.Limits, handler http.HandlerFunc) string {
	guard, err := connguard.New(connguard.Options{Name: "test", Logger: zerolog.Nop(), Limits: limits})
	c.Assert(err, qt.IsNil)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	guard.Protect(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
	c.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// A connection whose body hasn't come gives way to a new one, one whose body has come doesn't.
func TestIncompleteBodyGivesWay(t *testing.T) {
	c := qt.New(t)
	release, began := make(chan struct{}), make(chan struct{}, 1)
	address := serveHandler(c, connguard.Limits{Connections: 2, HeadBytes: func() int64 { return 4096 }, TotalHeadBytes: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/slow" {
			began <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	})
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { conn.Close() })
		_, _ = io.WriteString(conn, text)
		return conn
	}
	whole := dial("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	<-began
	half := dial("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	time.Sleep(100 * time.Millisecond)
	c.Check(answered(dial(request)), qt.IsTrue)
	c.Check(closed(half), qt.IsTrue)
	close(release)
	c.Check(answered(whole), qt.IsTrue)
}

// If there are too many requests of HTTP/2 together, the connection with most of them gives way.
func TestConnectionWithMostStreamsGivesWay(t *testing.T) {
	const streams = 20
	c := qt.New(t)
	release, began := make(chan struct{}), make(chan struct{}, 10*streams)
	address := serveHandler(c, connguard.Limits{
		Connections: 10, HeadBytes: func() int64 { return 80 << 10 }, TotalHeadBytes: 1 << 20, Streams: streams,
	}, func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	client := func() *http.Client {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		c.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport}
	}
	results := make(chan error, 10*streams)
	send := func(client *http.Client, n int) {
		for range n {
			go func() {
				request, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+address, nil)
				if err != nil {
					results <- err
					return
				}
				response, err := client.Do(request)
				if err == nil {
					response.Body.Close()
				}
				results <- err
			}()
		}
		for range n {
			select {
			case <-began:
			case <-time.After(5 * time.Second):
				c.Fatal("a request didn't begin")
			}
		}
	}
	small, large := client(), client()
	// The first request of a client opens the connection of the others.
	send(small, 1)
	send(small, 4)
	send(large, 1)
	send(large, streams-6)
	send(small, 1)
	for range streams - 5 {
		c.Check(<-results, qt.IsNotNil)
	}
	close(release)
	for range 6 {
		c.Check(<-results, qt.IsNil)
	}
}
