package callerconn_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/callerconn"
)

// pipelining opens a connection whose second request is unread in the kernel while the first
// one is answered with body and "Connection: close".
func pipelining(c *qt.C, body string) (*callerconn.Server, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	reached, answer := make(chan struct{}, 1), make(chan struct{})
	server := callerconn.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		reached <- struct{}{}
		<-answer
		_, _ = io.WriteString(w, body)
	})})
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(operationTimeout)), qt.IsNil)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	fmt.Fprint(conn, request)
	<-reached
	fmt.Fprint(conn, request)
	time.Sleep(settleTime)
	close(answer)
	time.Sleep(settleTime)
	return server, conn
}

// TestAnswerArrivesThoughMoreWasSentBehindItsRequest guards against losing a part of an
// answer: the kernel resets a connection that is closed with unread bytes, here those of a
// pipelined request.
func TestAnswerArrivesThoughMoreWasSentBehindItsRequest(t *testing.T) {
	c := qt.New(t)
	body := strings.Repeat("x", 1<<20)
	_, conn := pipelining(c, body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got) == body, qt.IsTrue, qt.Commentf("%d bytes", len(got)))
}

// TestUnreadBytesHoldAStopBriefly checks that callers that have sent more bytes and never
// close their connections delay a shutdown only briefly.
func TestUnreadBytesHoldAStopBriefly(t *testing.T) {
	c := qt.New(t)
	server, _ := pipelining(c, "short")
	s := &testServer{c: c, server: server}
	began := time.Now()
	c.Assert(<-s.beginShutdown(operationTimeout), qt.IsNil)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
