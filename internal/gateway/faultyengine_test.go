package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A faulty backend server that writes an earlier refusal once more on a kept connection must not make a request that it
// runs look as if it hasn't run, nor have it run elsewhere (REFUSED, TWICE).
func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	for _, head := range []string{"503 X\r\nNot-Run: 1\r\nId: %s", "421 X\r\nId: %s", "503 X\r\nNot-Run: 1\r\nNo-Id: %s", "421 X\r\nNo-Id: %s", "429 X\r\nNot-Run: 1\r\nNo-Id: %s"} {
		t.Run(strings.ReplaceAll(head, "\r\n", " "), func(t *testing.T) {
			var mu sync.Mutex
			runs := map[string]int{}
			server := func() connHandler {
				earlier, requests := map[net.Conn]string{}, map[net.Conn]int{}
				return func(request *http.Request, conn net.Conn) {
					mu.Lock()
					defer mu.Unlock()
					id := request.Header.Get("Id")
					if requests[conn]++; requests[conn] == 2 {
						earlier[conn] = fmt.Sprintf("HTTP/1.1 "+head+"\r\nContent-Length: 0\r\n\r\n", id)
						fmt.Fprint(conn, earlier[conn])
						return
					}
					runs[id]++
					fmt.Fprint(conn, earlier[conn])
					respond(200, "fresh")(request, conn)
				}
			}
			w := newTestEntry(t, server(), server())
			for range 12 {
				response, body, err := w.call("POST", "/unsafe/x", "payload")
				w.c.Assert(err, qt.IsNil)
				mu.Lock()
				id := fmt.Sprint("r", lastRequestNumber.Load())
				w.c.Check(runs[id] <= 1, qt.IsTrue, qt.Commentf("%d runs", runs[id]))
				switch response.StatusCode {
				case http.StatusOK:
					w.c.Check(body, qt.Equals, "fresh")
				case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
					w.c.Check(runs[id], qt.Equals, 0, qt.Commentf("refused with status %d, but it ran", response.StatusCode))
				}
				mu.Unlock()
			}
		})
	}
}
