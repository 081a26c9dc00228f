package platform

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// closingServer answers the first request that it receives. It reads each further request and
// closes the connection without a response. It counts the requests.
func closingServer(c *qt.C) (url string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	requests = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, requests)
		}
	}()
	c.Cleanup(func() {
		listener.Close()
		<-done
	})
	return "http://" + listener.Addr().String(), requests
}

func answerOnce(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if requests.Add(1) > 1 {
			return
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// TestPlainClientResends shows the behavior that the sender prevents: a plain http.Transport sends
// a request twice. If net/http stops doing so, the sender can be simplified.
func TestPlainClientResends(t *testing.T) {
	c := qt.New(t)
	url, requests := closingServer(c)
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		resp, err := client.Get(url)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			c.Assert(err, qt.IsNil)
			resp.Body.Close()
		}
	}
	c.Assert(requests.Load(), qt.Equals, int64(3))
}

func TestCallIsSentOnce(t *testing.T) {
	cases := []struct {
		name, method, header, body string
	}{
		{"get", http.MethodGet, "", ""},
		{"head", http.MethodHead, "", ""},
		{"options", http.MethodOptions, "", ""},
		{"delete", http.MethodDelete, "", ""},
		{"post without body", http.MethodPost, "", ""},
		{"post with body", http.MethodPost, "", "loan"},
		{"post with key", http.MethodPost, "Idempotency-Key", "loan"},
		{"empty post with key", http.MethodPost, "Idempotency-Key", ""},
		{"post with other key", http.MethodPost, "X-Idempotency-Key", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			url, requests := closingServer(c)
			client := &http.Client{Transport: &http.Transport{}}
			service := NewHTTPService(url, client)
			// After the first call the connection would stay open if keep-alive were in use.
			answer, err := service.Do(t.Context(), makeCall(tc.method, tc.header, tc.body))
			c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, answer.Body)
			c.Assert(err, qt.IsNil)
			answer.Body.Close()

			_, err = service.Do(t.Context(), makeCall(tc.method, tc.header, tc.body))
			var broken *BrokenCallError
			c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(requests.Load(), qt.Equals, int64(2))
		})
	}
}

func makeCall(method, header, body string) Call {
	call := Call{ID: "d-1", Method: method, Path: "/loans", Header: http.Header{}}
	if header != "" {
		call.Header.Set(header, "k-1")
	}
	if body != "" {
		call.Body = strings.NewReader(body)
	}
	return call
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	url := "http://" + listener.Addr().String()
	listener.Close()
	_, err = NewHTTPService(url, &http.Client{}).Do(t.Context(), makeCall(http.MethodPost, "", "loan"))
	var notSent *NotSentError
	c.Assert(errors.As(err, &notSent), qt.IsTrue, qt.Commentf("%v", err))
	_, err = NewHTTPLog(url, &http.Client{}).Append(t.Context(), StreamClaims, []byte("claim"))
	var unavailable *UnavailableError
	c.Assert(errors.As(err, &unavailable), qt.IsTrue, qt.Commentf("%v", err))
}

// Covers a transport that does not call the hooks of httptrace, so that the sender cannot determine
// whether a connection was obtained.
func TestTransportWithoutTraceNeverReportsNotSent(t *testing.T) {
	c := qt.New(t)
	client := &http.Client{Transport: failingTransport{}}
	_, err := NewHTTPService("http://127.0.0.1:1", client).Do(t.Context(), makeCall(http.MethodPost, "", "x"))
	var broken *BrokenCallError
	c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
}

type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Err: io.ErrUnexpectedEOF}
}

func TestTimeoutAfterSendingIsBroken(t *testing.T) {
	c := qt.New(t)
	arrived := make(chan struct{})
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	go func() {
		<-arrived
		cancel()
	}()
	_, err := NewHTTPService(server.URL, server.Client()).Do(ctx, makeCall(http.MethodPost, "", "loan"))
	var broken *BrokenCallError
	c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
}

func TestRedirectIsReturned(t *testing.T) {
	c := qt.New(t)
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	}))
	defer server.Close()
	answer, err := NewHTTPService(server.URL, server.Client()).Do(t.Context(), makeCall(http.MethodPost, "", "loan"))
	c.Assert(err, qt.IsNil)
	answer.Body.Close()
	c.Assert(answer.Status, qt.Equals, http.StatusFound)
	c.Assert(requests.Load(), qt.Equals, int64(1))
}

func TestCutAnswerIsBroken(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(w, "half"); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	answer, err := NewHTTPService(server.URL, server.Client()).Do(t.Context(), makeCall(http.MethodGet, "", ""))
	c.Assert(err, qt.IsNil)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	var broken *BrokenCallError
	c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
}
