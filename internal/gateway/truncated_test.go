package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// wholeAnswers are answers as a backend server sends them, with ID in place of the request's id, by the path of the
// request. endsWithConnection says that the body has neither a length nor chunks, so that any end of it looks whole.
var wholeAnswers = map[string]struct {
	path, text, body   string
	endsWithConnection bool
}{
	"length":             {"/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nContent-Length: 12\r\n\r\nhello world\n", "hello world\n", false},
	"chunks":             {"/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n6;x=y\r\nworld\n\r\n0\r\n\r\n", "hello world\n", false},
	"trailer":            {"/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\nc\r\nhello world\n\r\n0\r\nX: y\r\n\r\n", "hello world\n", false},
	"interim heads":      {"/unsafe/x", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nStamp: s1\r\nId: ID\r\nContent-Length: 1\r\n\r\nx", "x", false},
	"HTTP/1.0, length":   {"/unsafe/x", "HTTP/1.0 200 OK\r\nId: ID\r\nStamp: s1\r\nContent-Length: 12\r\n\r\nhello world\n", "hello world\n", false},
	"empty body":         {"/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\nStamp: s1\r\n\r\n", "", false},
	"no content":         {"/unsafe/x", "HTTP/1.1 204 No Content\r\nId: ID\r\nStamp: s1\r\n\r\n", "", false},
	"HTTP/1.0, close":    {"/unsafe/x", "HTTP/1.0 200 OK\r\nId: ID\r\nStamp: s1\r\n\r\nhello world\n", "hello world\n", true},
	"no length":          {"/unsafe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\n\r\nhello world\n", "hello world\n", true},
	"stream, chunks":     {"/stream/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n10\r\nid: 2\ndata: e2\n\n\r\n0\r\n\r\n", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", false},
	"stream, length":     {"/stream/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nContent-Length: 32\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", false},
	"stream, HTTP/1.0":   {"/stream/x", "HTTP/1.0 200 OK\r\nId: ID\r\nStamp: s1\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n", "id: 1\ndata: e1\n\n", false},
	"stream, no length":  {"/stream/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", true},
	"resumable, chunks":  {"/resumable/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n", "id: 1\ndata: e1\n\n", false},
	"safe, length":       {"/safe/x", "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s1\r\nContent-Length: 12\r\n\r\nhello world\n", "hello world\n", false},
	"failure, no length": {"/unsafe/x", "HTTP/1.1 404 Not Found\r\nId: ID\r\nStamp: s1\r\n\r\nno\n", "no\n", true},
}

// rawAnswer sends a request of a protocol version on a connection of its own and reads all that comes back. whole says
// that the answer ended as its framing promises, and that the connection wasn't reset.
func (w *testEntry) rawAnswer(protocol, path, id string) (status int, body string, whole bool) {
	conn, err := net.Dial("tcp", w.front.Listener.Addr().String())
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	w.c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	fmt.Fprintf(conn, "POST %s %s\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: key\r\nContent-Length: 1\r\nConnection: close\r\n\r\np", path, protocol, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err == nil
}

// Guards against a backend server that stops within its answer, at any byte of its head, of interim heads, of a chunk's
// frame or of its body, and whose caller gets a success that looks whole.
func TestAnswerThatStopsIsNeverWhole(t *testing.T) {
	for name, answer := range wholeAnswers {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
				text := strings.ReplaceAll(answer.text, "ID", request.Header.Get("Id"))
				_, err := io.WriteString(conn, text[:min(int(sent.Load()), len(text))])
				w := qt.New(t)
				w.Check(err, qt.IsNil)
				w.Check(conn.Close(), qt.IsNil)
			})
			const id = "r1"
			text := strings.ReplaceAll(answer.text, "ID", id)
			head := strings.LastIndex(strings.TrimSuffix(text, answer.body), "\r\n\r\n") + len("\r\n\r\n")
			if !answer.endsWithConnection {
				head = len(text)
			}
			for n := range len(text) + 1 {
				sent.Store(int64(n))
				for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
					status, body, whole := w.rawAnswer(protocol, answer.path, id)
					isSuccess := status >= 200 && status < 300 && whole
					switch {
					case n == len(text):
						w.c.Check(whole && body == answer.body && status != 502, qt.IsTrue, qt.Commentf("all of it, %s: %d %q %t", protocol, status, body, whole))
					case n < head:
						w.c.Check(isSuccess, qt.IsFalse, qt.Commentf("%d bytes, %s: %d %q", n, protocol, status, body))
					default:
						// The end of the connection is the end of the body; what came of it must not change.
						w.c.Check(!isSuccess || strings.HasPrefix(answer.body, body), qt.IsTrue, qt.Commentf("%d bytes, %s: %q", n, protocol, body))
					}
				}
			}
		})
	}
}
