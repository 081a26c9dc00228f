package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// Answers that net/http writes by itself must keep what a refusal promises: no success, no signature, and nothing that
// follows on the connection runs.
func TestAnswersWithoutAHandlerAreRefusals(t *testing.T) {
	b := newCrowdTestbed(t, 127)
	const smuggled = "smuggled"
	next := "POST /safe/x HTTP/1.1\r\nHost: " + standin.Host + "\r\nLagoonlane-Request-Id: " + smuggled + "\r\nLagoonlane-Credential: key-open\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		text   string
		status int
		// keeps says that the request is well formed, so that its connection may be kept.
		keeps bool
	}{
		"OPTIONS *":            {text: "OPTIONS * HTTP/1.1\r\nHost: s\r\nLagoonlane-Request-Id: o\r\n\r\n", status: http.StatusNotFound, keeps: true},
		"OPTIONS *, malformed": {text: "OPTIONS * HTTP/1.1\r\nHost: s\r\n\r\n", status: http.StatusBadRequest, keeps: true},
		"no request line":      {text: "nothing\r\n\r\n", status: http.StatusBadRequest},
		"no host":              {text: "GET /safe/x HTTP/1.1\r\n\r\n", status: http.StatusBadRequest},
		"two lengths":          {text: "POST /safe/x HTTP/1.1\r\nHost: s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", status: http.StatusBadRequest},
		"a malformed header":   {text: "GET /safe/x HTTP/1.1\r\nHost: s\r\nA B: c\r\n\r\n", status: http.StatusBadRequest},
		"a transfer coding":    {text: "POST /safe/x HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: gzip\r\n\r\n", status: http.StatusNotImplemented},
		"HTTP/3.0":             {text: "GET /safe/x HTTP/3.0\r\nHost: s\r\n\r\n", status: http.StatusHTTPVersionNotSupported},
		"HTTP/2":               {text: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", status: http.StatusBadRequest},
		"an expectation":       {text: "GET /safe/x HTTP/1.1\r\nHost: s\r\nExpect: more\r\n\r\n", status: http.StatusExpectationFailed},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", b.entries[0].Front)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			text := test.text
			if !test.keeps {
				text += next
			}
			_, err = io.WriteString(conn, text)
			c.Assert(err, qt.IsNil)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, response.Body)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(standin.Signature(response.Header), qt.Equals, "")
			if !test.keeps {
				c.Check(response.Close, qt.IsTrue)
				_, err = http.ReadResponse(reader, nil)
				c.Check(err, qt.IsNotNil, qt.Commentf("nothing follows the end of the connection"))
			}
		})
	}
	b.recorder.mu.Lock()
	defer b.recorder.mu.Unlock()
	qt.New(t).Check(b.recorder.arrivals[smuggled], qt.HasLen, 0)
}
