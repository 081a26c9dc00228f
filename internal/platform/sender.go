package platform

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
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
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { requested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.Close = true
	req.GetBody = nil
	req.Body = singleUse(req.Body)
	resp, err := s.client.Do(req)
	if err == nil {
		return resp, nil
	}
	if requested.Load() && !connected.Load() {
		return nil, &NotSentError{Cause: err}
	}
	return nil, &BrokenCallError{Cause: err}
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
