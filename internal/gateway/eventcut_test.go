package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// cuttableStream is a stream with all fields in several orders. "|" marks where it may end: after whole events, comments
// and blank lines. "~" stands for more bytes than a read buffer has.
const cuttableStream = "|\ufeff: opening\n|\n|id: 1\ndata: e1\n\n|: comment\n|event: token\nid: 2\ndata: e2\n\n|data: e3\nretry: 1\nid: 3\n\n|" +
	"unknown: ~\nid: 4\nevent: token\ndata\n\n|:~\n|\n|event: ping\n\n|retry: 10\n\n|id: 5\ndata: e5\n\n|event: done\n\n|"

// streamEnds returns a stream with the given line end, and the offsets at which it may end.
func streamEnds(lineEnd string) (text string, ends map[int]bool) {
	marked := strings.ReplaceAll(cuttableStream, "~", strings.Repeat("x", 5000))
	switch lineEnd {
	case "\r":
		marked = strings.ReplaceAll(marked, "\n", "\r")
	case "\r\n":
		// A carriage return ends a line by itself.
		marked = strings.ReplaceAll(strings.ReplaceAll(marked, "\n", "\r\n"), "\r\n|", "\r|\n|")
	}
	ends = map[int]bool{}
	for i, part := range strings.Split(marked, "|") {
		if i > 0 {
			ends[len(text)] = true
		}
		text += part
	}
	return text, ends
}

// bodyFramings are the ways to send a body as a whole.
var bodyFramings = map[string]func(id, body string) string{
	"length": func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	},
	"chunks": func(id, body string) string {
		chunks := ""
		if body != "" {
			chunks = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
	},
	"connection": func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s1\r\n\r\n" + body
	},
	"HTTP/1.0": func(id, body string) string {
		return "HTTP/1.0 200 OK\r\nId: " + id + "\r\nStamp: s1\r\n\r\n" + body
	},
}

// Guards against a stream that stops after the `event` field of an event, or anywhere else inside one, and that callers
// get as complete (ORDER).
func TestStreamThatStopsInsideAnEventIsNeverWhole(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for name, frame := range bodyFramings {
			t.Run(fmt.Sprintf("%q, %s", lineEnd, name), func(t *testing.T) {
				text, ends := streamEnds(lineEnd)
				firstEvent := strings.Index(text, "e1") + len("e1") + 2*len(lineEnd)
				var sent atomic.Int64
				w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
					fmt.Fprint(conn, frame(request.Header.Get("Id"), text[:sent.Load()]))
					conn.Close()
				})
				for n := range len(text) + 1 {
					if text[max(0, n-2):min(n+2, len(text))] == "xxxx" && n%997 > 0 {
						// Inside a long line.
						continue
					}
					sent.Store(int64(n))
					status, body, whole := w.rawAnswer("HTTP/1.1", "/stream/x", "r1")
					isWhole := whole && status == http.StatusOK
					w.c.Check(isWhole, qt.Equals, ends[n] && n >= firstEvent-len(lineEnd)+1, qt.Commentf("%d bytes, after %q", n, text[max(0, n-20):n]))
					w.c.Check(strings.HasPrefix(text[:n], body) && (!isWhole || body == text[:n]) || status != http.StatusOK, qt.IsTrue, qt.Commentf("%d bytes: %q", n, body))
				}
			})
		}
	}
}

// Guards against a piece that is missing or comes twice when a stream that stopped inside an event goes on at another
// engine, which may stop inside an event as well.
func TestStreamThatStopsInsideAnEventGoesOnElsewhere(t *testing.T) {
	const event = "\ufeffevent: token\nid: %d\ndata: e%d\n\n"
	events := func(from, to int) (text string) {
		for i := from; i <= to; i++ {
			text += fmt.Sprintf(event, i, i)
			text = strings.ReplaceAll(text, "\n\ufeff", "\n")
		}
		return text
	}
	for name, frame := range bodyFramings {
		for _, secondStops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second stops: %t", name, secondStops), func(t *testing.T) {
				first := events(1, 3)
				var sent, calls atomic.Int64
				s := func(request *http.Request, conn net.Conn) {
					last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
					text := events(last+1, 6)
					if calls.Add(1) == 1 {
						text = first[:sent.Load()]
					} else if secondStops {
						text = strings.TrimSuffix(text, "id: 6\ndata: e6\n\n")
					}
					fmt.Fprint(conn, frame(request.Header.Get("Id"), text))
					conn.Close()
				}
				for n := 1; n < len(first); n++ {
					if strings.HasSuffix(first[:n], "\n\n") {
						continue
					}
					w := newTestEntry(t, s, s)
					sent.Store(int64(n))
					calls.Store(0)
					_, body, whole := w.rawAnswer("HTTP/1.1", "/resumable/x", "r1")
					want := events(1, 6)
					if secondStops {
						want = events(1, 5)
					}
					w.c.Check(body, qt.Equals, want, qt.Commentf("%d bytes", n))
					w.c.Check(whole, qt.Equals, !secondStops, qt.Commentf("%d bytes", n))
				}
			})
		}
	}
}
