package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// respondUntilClosed sends a stream without a length, which ends with its connection.
func respondUntilClosed(request *http.Request, conn net.Conn, events string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\n\r\n%s", request.Header.Get("Id"), events)
}

// A stream without a length and without events, as a crashed engine leaves it, was passed on as a complete answer; so
// must none be that ends inside an event.
func TestStreamWithoutLengthIsCompleteOnlyAfterAnEvent(t *testing.T) {
	for sent, complete := range map[string]bool{
		"": false, ": comment\n\n": false, "id: 1\n": false, "id: 1\ndata: e1": false, "id: 1\ndata: e1\n\nid: 2\n": false,
		"id: 1\ndata: e1\n\n": true, threeEvents: true,
	} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newEngineEntry(t, 2, func(request *http.Request, conn net.Conn) { respondUntilClosed(request, conn, sent) })
				response, cut := w.callHost(context.Background(), "low")
				w.c.Assert(!cut && response.Code == http.StatusOK, qt.Equals, complete, qt.Commentf("%d %t %q", response.Code, cut, response.Body.String()))
			})
		})
	}
}
