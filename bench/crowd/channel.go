package crowd

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// ReopenedError reports that a channel was closed that its client wanted to keep.
type ReopenedError struct{}

func (*ReopenedError) Error() string { return "the channel was closed and opened again" }

// StatusError reports an answer with another status than 200.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// Channel is a client that keeps one connection open for all its requests. It must not be used concurrently.
type Channel struct {
	transport http.Transport
	opened    bool
}

// NewChannel returns a client without a connection.
func NewChannel() *Channel {
	return &Channel{transport: http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}}
}

// Do sends a request and reads its answer. It returns nil if the answer has status 200 and is complete, and came over
// the connection of the earlier requests; otherwise *StatusError, *ReopenedError or an error of the connection.
func (c *Channel) Do(request *http.Request) error {
	reopened := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		reopened = reopened || c.opened && !info.Reused
		c.opened = true
	}}
	response, err := c.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return errors.WithStack(err)
	case response.StatusCode != http.StatusOK:
		return errors.WithStack(&StatusError{Status: response.StatusCode, Body: string(body)})
	case reopened:
		return errors.WithStack(&ReopenedError{})
	}
	return nil
}

// Close closes the connection.
func (c *Channel) Close() { c.transport.CloseIdleConnections() }
