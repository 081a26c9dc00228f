package platform

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Headers of a call to a backend server.
const (
	// HeaderCallID is the call id, which Resume and Cancel use.
	HeaderCallID = "X-Call-Id"
	// HeaderVersion is the model or service version that must serve the call.
	HeaderVersion = "X-Version"
	// HeaderRoute is the name of the route that the call matched.
	HeaderRoute = "X-Route"
)

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
}

// HTTPService is the HTTP client of a plain service. It implements Backend.
type HTTPService struct {
	base   string
	sender sender
}

// NewHTTPService returns a client of the plain service at the URL base.
func NewHTTPService(base string, client *http.Client) *HTTPService {
	return &HTTPService{base: base, sender: newSender(client)}
}

// Do implements Backend.
func (s *HTTPService) Do(ctx context.Context, call Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, s.base+call.Path, call.Body)
	if err != nil {
		return nil, errors.WithStack(&NotSentError{Cause: err})
	}
	req.Header = callHeader(call)
	resp, err := s.sender.send(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return newAnswer(resp), nil
}

func callHeader(call Call) http.Header {
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	// Without this header the transport requests gzip and decompresses the response itself.
	if header.Get("Accept-Encoding") == "" {
		header.Set("Accept-Encoding", "identity")
	}
	if call.ID != "" {
		header.Set(HeaderCallID, call.ID)
	}
	if call.Version != "" {
		header.Set(HeaderVersion, call.Version)
	}
	return header
}

func newAnswer(resp *http.Response) *Answer {
	for _, name := range hopByHopHeaders {
		resp.Header.Del(name)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: typedErrorBody{resp.Body}}
}

// typedErrorBody converts the read errors of a response body to *BrokenCallError.
type typedErrorBody struct{ io.ReadCloser }

func (b typedErrorBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = &BrokenCallError{Cause: err}
	}
	return n, err
}
