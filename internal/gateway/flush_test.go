package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Whole events must reach the caller at once, also if the backend server pauses in the middle of the next one, or after a
// comment or an event without data, which reached the caller with the next event only.
func TestWholeEventsAreNotHeldBackByTheNextOne(t *testing.T) {
	for _, next := range []string{"id: 3\nda", ": comment\n\n", ": comment\n\n\n\n: comm", "event: ping\n\n", "retry: 1\r\n\r\n"} {
		t.Run(fmt.Sprintf("%q", next), func(t *testing.T) { testWholeEventsAreNotHeldBack(t, next) })
	}
}

func testWholeEventsAreNotHeldBack(t *testing.T, next string) {
	const pause = time.Second
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		chunk := func(text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		chunk("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" + next)
		time.Sleep(pause)
		chunk("ta: e3\n\n")
		chunk("")
	})
	request, err := http.NewRequest(http.MethodPost, w.front.URL+"/stream/x", strings.NewReader("p"))
	w.c.Assert(err, qt.IsNil)
	request.Header.Set("Id", "held-back")
	request.Header.Set("Key", "key")
	began := time.Now()
	response, err := w.client.Do(request)
	w.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	for range 6 {
		_, err := reader.ReadString('\n')
		w.c.Assert(err, qt.IsNil)
	}
	w.c.Check(time.Since(began) < pause/2, qt.IsTrue, qt.Commentf("the first two events took %v", time.Since(began)))
}
