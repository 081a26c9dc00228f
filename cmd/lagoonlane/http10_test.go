package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// Guards against a broken stream that looks whole to a caller in HTTP/1.0, through all that an entry wraps around its
// callers' connections.
func TestBrokenStreamNeverLooksWholeInHTTP10(t *testing.T) {
	e := newTestEntry(t)
	stop, ended := e.run()
	conn, err := net.Dial("tcp", e.front)
	e.c.Assert(err, qt.IsNil)
	defer conn.Close()
	e.c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	request, err := http.NewRequest(http.MethodPost, "http://"+standin.Host+"/stream/x", nil)
	e.c.Assert(err, qt.IsNil)
	request.Header = standin.CallerRequest{ID: "old", Key: "key-open", Timeout: time.Minute}.Header()
	fmt.Fprintf(conn, "POST /stream/x HTTP/1.0\r\nHost: %s\r\n", standin.Host)
	e.c.Assert(request.Header.Write(conn), qt.IsNil)
	fmt.Fprint(conn, "Content-Length: 1\r\n\r\np")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	e.c.Assert(err, qt.IsNil)
	e.backend.Stop()
	_, err = io.Copy(io.Discard, response.Body)
	e.c.Check(err, qt.IsNotNil)
	stop(&stopError{})
	e.c.Assert(<-ended, qt.IsNil)
}
