package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// listen serves connections one after the other. It calls serve for each request with the
// number of the request.
func listen(t *testing.T, serve func(n int, request *http.Request, conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		n := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					break
				}
				n++
				serve(n, request, conn)
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func writeAnswer(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\nx", id)
}

func newRequest(id string) *upstream.Request {
	return &upstream.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "a"}
}

// TestStrayAnswerIsReported checks that an answer to another request is skipped and reported to
// Options.OnStrayAnswer.
func TestStrayAnswerIsReported(t *testing.T) {
	c := qt.New(t)
	address := listen(t, func(_ int, r *http.Request, conn net.Conn) {
		writeAnswer(conn, "other")
		writeAnswer(conn, "mine")
	})
	var reported []string
	client := upstream.New(upstream.Options{
		RequestIDOf:   func(h http.Header) string { return h.Get("Id") },
		OnStrayAnswer: func(server, sent, answered string) { reported = append(reported, server, sent, answered) },
	})
	defer client.CloseIdle()
	got, err := client.Do(t.Context(), "server-1", address, newRequest("mine"))
	c.Assert(err, qt.IsNil)
	got.Close(0)
	c.Assert(reported, qt.DeepEquals, []string{"server-1", "mine", "other"})
}

// TestBrokenErrorReportsReusedConnections checks that BrokenError distinguishes reused
// connections, which the server may have closed as idle, from new ones.
func TestBrokenErrorReportsReusedConnections(t *testing.T) {
	c := qt.New(t)
	address := listen(t, func(n int, r *http.Request, conn net.Conn) {
		if n != 1 {
			conn.Close()
			return
		}
		writeAnswer(conn, "a")
	})
	client := upstream.New(upstream.Options{})
	defer client.CloseIdle()
	first, err := client.Do(t.Context(), "server-1", address, newRequest("a"))
	c.Assert(err, qt.IsNil)
	var body [8]byte
	for err == nil {
		_, err = first.Read(body[:])
	}
	first.Close(0)
	for _, reused := range []bool{true, false} {
		_, err := client.Do(t.Context(), "server-1", address, newRequest("a"))
		var broken *upstream.BrokenError
		c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(broken.Reused, qt.Equals, reused)
	}
}
