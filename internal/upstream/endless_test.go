package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

const (
	// endlessBytes is the number of bytes after which a server that simulates an endless answer
	// stops.
	endlessBytes = 32 << 20
	// maxSentBytes is the number of bytes that a server may write before its connection is
	// closed: the limits and the buffers of both sockets.
	maxSentBytes = 12 << 20
)

// startServer accepts one connection and calls respond to answer each request on it. It returns the
// address and a channel that receives the number of bytes written once the connection ends.
func startServer(t *testing.T, respond func(id string, conn *countingConn)) (string, <-chan int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	sent := make(chan int64, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		defer raw.Close()
		conn := &countingConn{Conn: raw}
		reader := bufio.NewReader(raw)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			respond(request.Header.Get("Id"), conn)
		}
		sent <- conn.sent
	}()
	return listener.Addr().String(), sent
}

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	sent int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// writeRepeatedly writes a text repeatedly until the connection is closed or endlessBytes are
// written.
func writeRepeatedly(conn *countingConn, text string) {
	block := strings.Repeat(text, max(1, 4096/len(text)))
	for conn.sent < endlessBytes {
		if _, err := io.WriteString(conn, block); err != nil {
			return
		}
	}
}

func doRequest(t *testing.T, client *upstream.Client, address string) (*upstream.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return client.Do(ctx, "one", address, &upstream.Request{
		ID: "r1", Method: "GET", Target: "/", Host: "h", Header: http.Header{"Id": {"r1"}},
	})
}

func newClient(t *testing.T) *upstream.Client {
	client := upstream.New(upstream.Options{RequestIDOf: func(h http.Header) string { return h.Get("Id") }})
	t.Cleanup(client.CloseIdle)
	return client
}

// TestEndlessHeadIsRejected guards against unbounded memory use: an endless head was once
// buffered without a limit.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, testCase := range map[string]struct {
		begin, repeat string
		kind          upstream.ExcessKind
	}{
		"status line":    {"HTTP/1.1 200 ", "O", upstream.ExcessHead},
		"header line":    {"HTTP/1.1 200 OK\r\nX: ", "y", upstream.ExcessHead},
		"header name":    {"HTTP/1.1 200 OK\r\n", "y", upstream.ExcessHead},
		"folded header":  {"HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n", upstream.ExcessHead},
		"headers":        {"HTTP/1.1 200 OK\r\n", "X: y\r\n", upstream.ExcessHead},
		"interim heads":  {"", "HTTP/1.1 100 Continue\r\n\r\n", upstream.ExcessInterimHeads},
		"interim header": {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n", upstream.ExcessHead},
		"no answer":      {"", "x", upstream.ExcessHead},
		"zeros":          {"", "\x00", upstream.ExcessHead},
		"stray answers":  {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", upstream.ExcessStrayAnswers},
		"stray body":     {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n", "x", upstream.ExcessStrayBytes},
		"stray chunks":   {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", upstream.ExcessStrayBytes},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, sent := startServer(t, func(_ string, conn *countingConn) {
				_, _ = io.WriteString(conn, testCase.begin)
				writeRepeatedly(conn, testCase.repeat)
			})
			began := time.Now()
			_, err := doRequest(t, newClient(t), address)
			c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
			var broken *upstream.BrokenError
			c.Assert(errors.As(err, &broken), qt.IsTrue)
			c.Assert(<-sent < maxSentBytes, qt.IsTrue)
			var excess *upstream.ExcessError
			c.Assert(errors.As(err, &excess), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(excess.Kind, qt.Equals, testCase.kind)
			c.Assert(excess.Limit > 0, qt.IsTrue)
		})
	}
}

// TestInvalidStatusLineIsRejected checks that the exchange ends at the first line that is not
// a valid status line.
func TestInvalidStatusLineIsRejected(t *testing.T) {
	c := qt.New(t)
	address, sent := startServer(t, func(_ string, conn *countingConn) { writeRepeatedly(conn, "no answer\r\n") })
	_, err := doRequest(t, newClient(t), address)
	var malformed *upstream.MalformedError
	c.Assert(errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(<-sent < maxSentBytes, qt.IsTrue)
}

// TestErrorOfALongLineIsShort checks that an error contains only a part of the bytes
// received, as it is written to the log.
func TestErrorOfALongLineIsShort(t *testing.T) {
	c := qt.New(t)
	address, _ := startServer(t, func(_ string, conn *countingConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Repeat("y", 8<<10)+"\r\n\r\n")
	})
	_, err := doRequest(t, newClient(t), address)
	c.Assert(err, qt.ErrorMatches, "new connection to .* broke: read answer head: malformed answer: .*")
	c.Assert(len(err.Error()) < 300, qt.IsTrue)
}

// TestEndlessFramingIsRejected checks that chunk headers and trailers are limited. The length
// of a body is not: its reader limits it.
func TestEndlessFramingIsRejected(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, testCase := range map[string]struct{ begin, repeat string }{
		"chunk header":     {"", "0"},
		"chunk extension":  {"1;x=", "y"},
		"chunk extensions": {"", "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\ny\r\n"},
		"trailer line":     {"0\r\nX: ", "y"},
		"trailers":         {"0\r\n", "X: y\r\n"},
		"chunk of text":    {"", "no chunk\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, sent := startServer(t, func(_ string, conn *countingConn) {
				_, _ = io.WriteString(conn, chunked+testCase.begin)
				writeRepeatedly(conn, testCase.repeat)
			})
			answer, err := doRequest(t, newClient(t), address)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, answer)
			c.Assert(answer.Close(time.Minute), qt.IsNil)
			var malformed *upstream.MalformedError
			c.Assert(errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(<-sent < maxSentBytes, qt.IsTrue)
		})
	}
}

// TestBytesAfterAWholeAnswerCloseTheConnection checks that bytes after a complete answer,
// which belong to no request, leave the answer valid but close the connection, so that the
// next request uses another one.
func TestBytesAfterAWholeAnswerCloseTheConnection(t *testing.T) {
	c := qt.New(t)
	address, sent := startServer(t, func(id string, conn *countingConn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nhello", id)
		writeRepeatedly(conn, "x")
	})
	client := newClient(t)
	answer, err := doRequest(t, client, address)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "hello")
	var excess *upstream.ExcessError
	if err := answer.Close(time.Minute); err != nil {
		// The bytes may also arrive after Close.
		c.Assert(errors.As(err, &excess), qt.IsTrue)
		c.Assert(excess.Kind, qt.Equals, upstream.ExcessAfterAnswer)
	}
	time.Sleep(50 * time.Millisecond)
	// The server accepts only one connection, so a request on a new one times out. On the old
	// connection the request would fail differently, with the surplus bytes as its answer.
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, "one", address, &upstream.Request{ID: "r2", Method: "GET", Target: "/", Host: "h"})
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(<-sent < maxSentBytes, qt.IsTrue)
}

// TestLargeHeadIsRead checks that a large head after interim heads is within the limits.
func TestLargeHeadIsRead(t *testing.T) {
	c := qt.New(t)
	address, _ := startServer(t, func(id string, conn *countingConn) {
		fmt.Fprintf(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+
			"HTTP/1.1 200 OK\r\nId: %s\r\nX: %s\r\nContent-Length: 100000\r\n\r\n%s", id, strings.Repeat("y", 8<<10), strings.Repeat("z", 100000))
	})
	answer, err := doRequest(t, newClient(t), address)
	c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, answer)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(100000))
	c.Assert(answer.Close(time.Minute), qt.IsNil)
}

// TestDrainStopsAtItsLimits checks that Drain stops at its limits of size and time.
func TestDrainStopsAtItsLimits(t *testing.T) {
	for name, text := range map[string]string{"flood": strings.Repeat("x", 4096), "drip": "x"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, sent := startServer(t, func(id string, conn *countingConn) {
				fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nId: %s\r\n\r\n", id)
				for conn.sent < endlessBytes {
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
					if len(text) == 1 {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
			answer, err := doRequest(t, newClient(t), address)
			c.Assert(err, qt.IsNil)
			began := time.Now()
			c.Assert(answer.Drain(), qt.Not(qt.IsNil))
			c.Assert(answer.Close(time.Minute), qt.IsNil)
			c.Assert(time.Since(began) < time.Second, qt.IsTrue)
			c.Assert(<-sent < maxSentBytes, qt.IsTrue)
		})
	}
}
