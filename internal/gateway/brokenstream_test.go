package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// When a stream has begun and broken off, an error of the next engine must neither appear in the stream nor end it as
// if it were complete (ORDER, MIXED).
func TestBrokenStreamIsNotContinuedByAnError(t *testing.T) {
	const signed = "Id: %[1]s\r\nStamp: s2\r\n"
	for name, answer := range map[string]string{
		"500":                  "HTTP/1.1 500 X\r\n" + signed + "Content-Length: 5\r\n\r\nerror",
		"404":                  "HTTP/1.1 404 X\r\n" + signed + "Content-Length: 5\r\n\r\nerror",
		"503":                  "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + signed + "Content-Length: 0\r\n\r\n",
		"200 with a text":      "HTTP/1.1 200 X\r\n" + signed + "Content-Length: 7\r\n\r\nerror\n\n",
		"200 with an object":   "HTTP/1.1 200 X\r\n" + signed + "Content-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"error\":true}\n",
		"200 with a data line": "HTTP/1.1 200 X\r\n" + signed + "Content-Type: text/event-stream\r\nContent-Length: 13\r\n\r\ndata: error\n\n",
		"200 until closed":     "HTTP/1.1 200 X\r\n" + signed + "Connection: close\r\n\r\n",
		"unsigned":             "HTTP/1.1 200 X\r\nId: %[1]s\r\nContent-Length: 19\r\n\r\nid: 3\ndata: other\n\n",
		"a head in the stream": "HTTP/1.1 200 X\r\n" + signed + "\r\nHTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror",
		"no head":              "error\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			s := func(request *http.Request, conn net.Conn) {
				if calls.Add(1) == 1 {
					respondEvents(request, conn, 1, 2, true)
					return
				}
				fmt.Fprint(conn, strings.ReplaceAll(answer, "%[1]s", request.Header.Get("Id")))
				conn.Close()
			}
			w := newTestEntry(t, s, s)
			response, body, err := w.call("POST", "/resumable/x", "p")
			w.c.Check(err, qt.Not(qt.IsNil), qt.Commentf("the stream looks complete: %q", body))
			w.c.Assert(response, qt.Not(qt.IsNil))
			w.c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			w.c.Check(body, qt.Equals, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
		})
	}
}
