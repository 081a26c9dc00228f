package slots

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

// headTimeout is how long a sidecar may take to say that it has queued a request:
// a hundred times the usual way there and back.
const headTimeout = 250 * time.Millisecond

// Client asks sidecars for slots.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses HTTP/2 connections of an HTTP client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Lease is a slot that is held.
type Lease struct {
	// Load is the state of the queue when the slot was granted.
	Load   admission.SlotLoad
	body   *leaseBody
	answer io.ReadCloser
	cancel context.CancelFunc
}

// Acquire asks the sidecar at an address for a slot and waits for it. Queued, if not
// nil, is called once the sidecar has taken the request into its queue. It fails with
// *RefusedError, *UnreachableError or the error of ctx.
func (c *Client) Acquire(ctx context.Context, address string, ask Ask, queued func(admission.SlotLoad)) (*Lease, error) {
	first, err := json.Marshal(ask)
	if err != nil {
		return nil, errors.Wrap(err, "request for a slot")
	}
	stream, cancelStream := context.WithCancel(context.WithoutCancel(ctx))
	body := &leaseBody{first: first, last: make(chan []byte, 1), closed: make(chan struct{})}
	// An HTTP/2 stream whose request body is still open ends only with that body.
	cancel := func() {
		cancelStream()
		body.end()
	}
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	lease, err := c.open(stream, address, body, queued, cancel)
	if err != nil {
		cancel()
		if ctx.Err() != nil {
			return nil, errors.WithStack(ctx.Err())
		}
		return nil, err
	}
	if !stop() {
		lease.Abandon()
		return nil, errors.WithStack(ctx.Err())
	}
	return lease, nil
}

func (c *Client) open(ctx context.Context, address string, body *leaseBody, queued func(admission.SlotLoad), cancel context.CancelFunc) (*Lease, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "request for a slot")
	}
	late := time.AfterFunc(headTimeout, cancel)
	response, err := c.http.Do(request)
	late.Stop()
	if err != nil {
		return nil, errors.WithStack(&UnreachableError{Address: address, Cause: err})
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, errors.WithStack(&UnreachableError{Address: address, Cause: &StatusError{Status: response.StatusCode}})
	}
	var load admission.SlotLoad
	if head := response.Header.Get(loadHeader); head != "" && queued != nil {
		if err := json.Unmarshal([]byte(head), &load); err == nil {
			queued(load)
		}
	}
	var d decision
	if err := json.NewDecoder(response.Body).Decode(&d); err != nil {
		_ = response.Body.Close()
		return nil, errors.WithStack(&UnreachableError{Address: address, Cause: err})
	}
	if !d.Granted {
		_ = response.Body.Close()
		return nil, errors.WithStack(&RefusedError{
			Reason: d.Reason, RetryAfter: time.Duration(d.RetryAfterMS) * time.Millisecond, Load: d.Load,
		})
	}
	return &Lease{Load: d.Load, body: body, answer: response.Body, cancel: cancel}, nil
}

// StatusError says that a sidecar answered with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return http.StatusText(e.Status) }

// Finish gives the slot back and tells the sidecar what became of the request. It
// doesn't wait.
func (l *Lease) Finish(outcome admission.Outcome) {
	last, err := json.Marshal(result{
		Sent:         outcome.Sent,
		Failed:       outcome.Failed,
		FirstTokenUS: outcome.FirstToken.Microseconds(),
		OutputTokens: outcome.OutputTokens,
	})
	if err != nil {
		l.Abandon()
		return
	}
	l.body.finish(last)
	go func() {
		// The sidecar ends its answer once it has read the result.
		timer := time.AfterFunc(headTimeout, l.cancel)
		defer timer.Stop()
		_, _ = io.Copy(io.Discard, l.answer)
		_ = l.answer.Close()
		l.cancel()
	}()
}

// Abandon gives the slot back without a result.
func (l *Lease) Abandon() {
	l.cancel()
	_ = l.answer.Close()
}

// leaseBody is the body of a request for a slot: the request, then, once the slot is
// given back, the result.
type leaseBody struct {
	first  []byte
	last   chan []byte
	rest   bytes.Reader
	once   sync.Once
	ending bool
	closed chan struct{}
}

// Read returns the request first, and waits for the result after it.
func (b *leaseBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if !b.ending {
		select {
		case last := <-b.last:
			b.rest.Reset(last)
			b.ending = true
		case <-b.closed:
			return 0, io.ErrClosedPipe
		}
	}
	return b.rest.Read(p)
}

// Close implements io.Closer.
func (b *leaseBody) Close() error {
	b.end()
	return nil
}

// end ends a Read that waits.
func (b *leaseBody) end() {
	b.once.Do(func() { close(b.closed) })
}

func (b *leaseBody) finish(last []byte) {
	select {
	case b.last <- last:
	default:
	}
}
