package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// sender sends each request at most once. An http.Transport resends a request by itself if a
// kept-alive connection breaks and the request is replayable. A sender prevents that: it uses a
// new connection for each request, and a body that cannot be rewound.
type sender struct{ client *http.Client }

func newSender(client *http.Client) sender {
	noRedirects := *client
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	base := client.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	if transport, ok := base.(*http.Transport); ok {
		noReuse := transport.Clone()
		noReuse.DisableKeepAlives = true
		base = noReuse
	}
	noRedirects.Transport = base
	return sender{client: &noRedirects}
}

// send sends a request. It returns *NotSentError if no connection was obtained, so that no byte
// was written, and *BrokenCallError on all other failures.
func (s sender) send(req *http.Request) (*http.Response, error) {
	var requested, connected atomic.Bool
	written := make(chan error, 1)
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case written <- info.Err:
			default:
			}
		},
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.Close = true
	req.GetBody = nil
	req.Body = singleUse(req.Body)
	resp, err := s.client.Do(req)
	if err == nil {
		return checkResponse(resp, written)
	}
	if requested.Load() && !connected.Load() {
		return nil, &NotSentError{Cause: err}
	}
	return nil, &BrokenCallError{Cause: err}
}

const (
	// minStatus and maxStatus bound the statuses of a final response.
	minStatus = 200
	maxStatus = 599
	// resetNoticeTime is how long the end of a response waits for a write of the request that has just received a reset.
	resetNoticeTime = 50 * time.Millisecond
)

// checkResponse returns a response whose body ends with an error where the connection was reset. written receives the
// result of writing the request. It returns *BrokenCallError for a status that HTTP doesn't have.
func checkResponse(resp *http.Response, written <-chan error) (*http.Response, error) {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		if err := resp.Body.Close(); err != nil {
			return nil, &BrokenCallError{Cause: err}
		}
		return nil, &BrokenCallError{Cause: &StatusError{Status: resp.StatusCode}}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1 {
		resp.Body = &unframedBody{ReadCloser: resp.Body, written: written}
	}
	return resp, nil
}

// StatusError reports a response with a status that HTTP doesn't have.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %03d", e.Status) }

// unframedBody is a body that ends with its connection. The kernel reports a reset to one call only: if that is the
// write of the request, the read sees a regular end.
type unframedBody struct {
	io.ReadCloser
	written <-chan error
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	timer := time.NewTimer(resetNoticeTime)
	defer timer.Stop()
	select {
	case writeErr := <-b.written:
		if isReset(writeErr) {
			return n, &BrokenCallError{Cause: writeErr}
		}
	case <-timer.C:
	}
	return n, io.EOF
}

// isReset reports whether a write failed because the peer reset the connection. net/http hides the cause of the error if
// it takes it for one of reading the body, and keeps its text.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || err != nil && strings.HasSuffix(err.Error(), syscall.ECONNRESET.Error())
}

// singleUseBody hides the type of a request body, including that of an empty one, so that a
// transport does not treat the request as replayable.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

func singleUse(body io.Reader) io.ReadCloser {
	if body == nil {
		body = http.NoBody
	}
	return singleUseBody{Reader: body}
}
