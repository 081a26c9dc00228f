package callerconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/callerconn"
)

// Guards against an answer that can't be completed and looks whole to a caller that speaks HTTP/1.0, for which the end of
// the connection is the end of the body.
func TestAbortedAnswerNeverLooksWhole(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, "part")
				c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
				time.Sleep(50 * time.Millisecond)
				callerconn.Abort(w, r)
			}))
			defer server.Close()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", protocol)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(response.Body)
			c.Check(string(body), qt.Equals, "part")
			c.Check(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
