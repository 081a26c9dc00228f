package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
)

// Limits on the response body of a platform service, in bytes.
const (
	maxDetailBytes = 512
	maxAnswerBytes = 64 << 20
	// maxReportBytes applies to what an engine says of itself. Many engines may be faulty at once.
	maxReportBytes = 1 << 20
)

// maxRetryAfter bounds the time without requests that a backend server can ask for.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns how long a backend server that has turned a request away wants no others; 0 if it
// doesn't say. It returns *ProtocolError if the header isn't a number of seconds.
func (a *Answer) RetryAfter() (time.Duration, error) {
	value := a.Header.Get("Retry-After")
	if value == "" || a.Status != http.StatusServiceUnavailable && a.Status != http.StatusTooManyRequests {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds >= 0) {
		return 0, errors.WithStack(&ProtocolError{Service: "backend server", Status: a.Status, Detail: "Retry-After is not a number of seconds"})
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// protocolError returns a *ProtocolError with the status and the start of the body of resp.
func protocolError(service string, resp *http.Response) error {
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	if err != nil {
		detail = []byte(err.Error())
	}
	return errors.WithStack(&ProtocolError{
		Service: service,
		Status:  resp.StatusCode,
		Detail:  strings.TrimSpace(string(detail)),
	})
}

// decodeJSON decodes a JSON response body. It returns *ProtocolError.
func decodeJSON(service string, resp *http.Response, limit int64, into any) error {
	err := json.NewDecoder(bounded.NewReader(resp.Body, limit)).Decode(into)
	if err != nil {
		return errors.WithStack(&ProtocolError{Service: service, Status: resp.StatusCode, Detail: err.Error()})
	}
	return nil
}

// getJSON sends a request to a platform service and decodes the JSON response. It returns
// *UnavailableError, *NotFoundError (if kind is not empty) or *ProtocolError.
func getJSON(client *http.Client, service string, req *http.Request, kind, name string, limit int64, into any) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(&UnavailableError{Service: service, Cause: err})
	}
	defer resp.Body.Close()
	return decodeResult(service, resp, kind, name, limit, into)
}

// decodeResult decodes the response of a query. It returns the errors of getJSON.
func decodeResult(service string, resp *http.Response, kind, name string, limit int64, into any) error {
	switch {
	case resp.StatusCode == http.StatusOK:
		return decodeJSON(service, resp, limit, into)
	case resp.StatusCode == http.StatusNotFound && kind != "":
		return errors.WithStack(&NotFoundError{Kind: kind, Name: name})
	case resp.StatusCode >= http.StatusInternalServerError:
		return errors.WithStack(&UnavailableError{Service: service, Cause: protocolError(service, resp)})
	}
	return protocolError(service, resp)
}

// newRequest builds a request to a platform service. It returns *UnavailableError.
func newRequest(service string, build func() (*http.Request, error)) (*http.Request, error) {
	req, err := build()
	if err != nil {
		return nil, errors.WithStack(&UnavailableError{Service: service, Cause: err})
	}
	return req, nil
}
