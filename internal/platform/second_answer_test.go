package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// A backend server that sends an answer a second time, later on the same connection, must not answer the
// next call with it.
func TestLateSecondAnswerIsNotReadByTheNextCall(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	service := platform.NewHTTPService("http://"+listener.Addr().String(), http.DefaultClient)
	for i := range 5 {
		path := fmt.Sprint("/", i)
		answer, err := service.Do(context.Background(), platform.Call{ID: path, Method: http.MethodGet, Path: path})
		c.Assert(err, qt.IsNil)
		body, err := io.ReadAll(answer.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(answer.Body.Close(), qt.IsNil)
		c.Assert(string(body), qt.Equals, path)
		time.Sleep(2 * secondAnswerDelay)
	}
}

// secondAnswerDelay is the time between an answer and its second copy.
const secondAnswerDelay = 5 * time.Millisecond

// answerTwice answers each request of a connection with its path, twice.
func answerTwice(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for range 2 {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path); err != nil {
				return
			}
			time.Sleep(secondAnswerDelay)
		}
	}
}
