// Package upstream owns the HTTP/1.1 connections to backend servers. It sends a
// request once, never repeats it by itself, and says what is known of a request
// that got no answer. It must not choose between backend servers.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds opening a connection: a backend server accepts within
	// milliseconds, or the request had better go elsewhere.
	dialTimeout = 400 * time.Millisecond
	// Keep-alive probes find a peer that lost power or is cut off within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultKeepAlive is how long an idle connection is kept where the server names
	// no time; keepAliveMargin is left before the server's own time is over.
	defaultKeepAlive = 2 * time.Second
	keepAliveMargin  = time.Second
	// maxIdle bounds the idle connections to one backend server.
	maxIdle = 32
	// sweepInterval is the time between two looks for idle connections that are too old.
	sweepInterval = 2 * time.Second
)

// Request is one request as a backend server gets it.
type Request struct {
	ID     string
	Method string
	// Target is the request target: path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// IDOf returns the request id that an answer echoes, or "".
type IDOf func(http.Header) string

// NotSentError says that no byte of a request left this process: it has not run.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string { return "not sent to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that a connection broke after bytes of a request were sent: the
// request may have run.
type BrokenError struct {
	Address string
	// Reused says that the connection had carried requests before: the server may have
	// closed it as idle at the same moment.
	Reused bool
	Cause  error
}

func (e *BrokenError) Error() string {
	connection := "new"
	if e.Reused {
		connection = "kept"
	}
	return connection + " connection to " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Options configure a Client.
type Options struct {
	// IDOf reads the echoed request id of an answer.
	IDOf IDOf
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Opened is called for each new connection; may be nil.
	Opened func()
	// Stray is told of each answer that was passed over as it names another request than
	// the one that was sent; may be nil.
	Stray func(server, sent, answered string)
}

// Client holds the connections to backend servers. It is safe for concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// idle holds the idle connections by server id, the latest used last.
	idle map[string][]*conn
}

// New returns a client without connections.
func New(options Options) *Client {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
			},
		}).DialContext
	}
	return &Client{options: options, idle: map[string][]*conn{}}
}

// Run closes idle connections that are too old, until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.CloseIdle()
			return ctx.Err()
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

// Do sends a request to the backend server with an id at an address and returns
// the head of its answer. Connections are kept for each server id, so that a server
// with another's address starts on its own. When ctx ends, the connection is closed.
// It fails with *NotSentError or *BrokenError.
func (c *Client) Do(ctx context.Context, server, address string, request *Request) (*Answer, error) {
	one := c.take(server)
	if one == nil {
		raw, err := c.options.Dial(ctx, "tcp", address)
		if err != nil {
			return nil, errors.WithStack(&NotSentError{Address: address, Cause: err})
		}
		if c.options.Opened != nil {
			c.options.Opened()
		}
		one = newConn(raw, server)
	}
	answer, err := one.exchange(ctx, c, request)
	if err != nil {
		one.close()
		return nil, errors.WithStack(err)
	}
	return answer, nil
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		for _, one := range list {
			one.close()
		}
		delete(c.idle, server)
	}
}

// Forget closes the idle connections to a backend server that is gone.
func (c *Client) Forget(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.idle[server] {
		one.close()
	}
	delete(c.idle, server)
}

// take returns an idle connection that is still usable, or nil.
func (c *Client) take(server string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server]
	now := time.Now()
	for len(list) > 0 {
		one := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[server] = list
		if now.Before(one.expires) && one.quiet() {
			return one
		}
		one.close()
	}
	return nil
}

func (c *Client) put(one *conn, keepAlive time.Duration) {
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	} else {
		keepAlive -= keepAliveMargin
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if keepAlive <= 0 || len(c.idle[one.server]) >= maxIdle {
		one.close()
		return
	}
	one.reused = true
	one.expires = time.Now().Add(keepAlive)
	c.idle[one.server] = append(c.idle[one.server], one)
}

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		kept := list[:0]
		for _, one := range list {
			if now.Before(one.expires) && one.quiet() {
				kept = append(kept, one)
			} else {
				one.close()
			}
		}
		if c.idle[server] = kept; len(kept) == 0 {
			delete(c.idle, server)
		}
	}
}
