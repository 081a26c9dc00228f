// Package upstream is an HTTP/1.1 client with a connection pool for backend servers. It sends
// each request once and never retries it. Its errors distinguish requests that were not sent
// from requests that may have run. The package does not choose between backend servers.
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
	// dialTimeout bounds opening a connection. Backend servers accept within milliseconds;
	// if one doesn't, the request should be sent to another one.
	dialTimeout = 400 * time.Millisecond
	// TCP keep-alive probes detect a peer that lost power or network within about 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// defaultKeepAlive is how long an idle connection is kept if the server announces no
	// keep-alive time. keepAliveMargin is subtracted from an announced one, so that the
	// connection isn't used when the server is about to close it.
	defaultKeepAlive = 2 * time.Second
	keepAliveMargin  = time.Second
	// maxIdleConnections bounds the number of idle connections per backend server.
	maxIdleConnections = 32
	// sweepInterval is the interval at which expired idle connections are closed.
	sweepInterval = 2 * time.Second
)

// Request is a request to a backend server.
type Request struct {
	// ID is the request id, which the answer may echo. It isn't sent unless Header has it.
	ID     string
	Method string
	// Target is the request target: path and query, unmodified.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// RequestIDFunc returns the request id that the headers of an answer echo, or "" without one.
type RequestIDFunc func(http.Header) string

// NotSentError reports that no byte of a request was sent, so the request has not run.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string { return "not sent to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError reports that an exchange failed after bytes of the request were sent, so the
// request may have run.
type BrokenError struct {
	Address string
	// Reused is true if the connection had carried requests before. The server may then have
	// closed it as idle at the same time.
	Reused bool
	Cause  error
}

func (e *BrokenError) Error() string {
	connection := "new"
	if e.Reused {
		connection = "reused"
	}
	return connection + " connection to " + e.Address + " broke: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Options configures a Client.
type Options struct {
	// RequestIDOf returns the echoed request id of an answer. If it is nil or returns "", the answer
	// is taken as the one to the request sent.
	RequestIDOf RequestIDFunc
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnOpen is called for each new connection. It may be nil.
	OnOpen func()
	// OnStrayAnswer is called for each answer that echoes an id other than that of the request sent,
	// with the backend server's id and both request ids. It may be nil.
	OnStrayAnswer func(server, sent, answered string)
}

// Client sends requests to backend servers and pools their connections. It is safe for
// concurrent use.
type Client struct {
	options Options

	mu sync.Mutex
	// idle holds the idle connections by server id, the most recently used last.
	idle map[string][]*conn
}

// New returns a client with an empty pool.
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

// Run closes expired idle connections until ctx is done. It then closes all idle connections
// and returns the error of ctx.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.CloseIdle()
			return ctx.Err()
		case now := <-ticker.C:
			c.closeExpired(now)
		}
	}
}

// Do sends a request to a backend server and returns its answer after the head has been read.
// Connections are pooled by server id, not by address, so that a server that takes over the
// address of another one gets new connections. When ctx ends, the connection is closed. Do
// returns *NotSentError or *BrokenError.
func (c *Client) Do(ctx context.Context, server, address string, request *Request) (*Answer, error) {
	connection := c.takeIdle(server)
	if connection == nil {
		raw, err := c.options.Dial(ctx, "tcp", address)
		if err != nil {
			return nil, errors.WithStack(&NotSentError{Address: address, Cause: err})
		}
		if c.options.OnOpen != nil {
			c.options.OnOpen()
		}
		connection = newConn(raw, server)
	}
	answer, err := connection.exchange(ctx, c, request)
	if err != nil {
		connection.close()
		return nil, errors.WithStack(err)
	}
	return answer, nil
}

// Probe opens a connection to an address and closes it. It returns *NotSentError if no connection can be
// opened.
func (c *Client) Probe(ctx context.Context, address string) error {
	raw, err := c.options.Dial(ctx, "tcp", address)
	if err != nil {
		return errors.WithStack(&NotSentError{Address: address, Cause: err})
	}
	if c.options.OnOpen != nil {
		c.options.OnOpen()
	}
	return errors.WithStack(raw.Close())
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		for _, connection := range list {
			connection.close()
		}
		delete(c.idle, server)
	}
}

// CloseIdleTo closes the idle connections to a backend server that has been removed.
func (c *Client) CloseIdleTo(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.idle[server] {
		connection.close()
	}
	delete(c.idle, server)
}

// takeIdle removes and returns the most recently used idle connection that is usable, or nil. It
// closes the unusable ones that it finds.
func (c *Client) takeIdle(server string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[server]
	now := time.Now()
	for len(list) > 0 {
		connection := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[server] = list
		if now.Before(connection.expires) && connection.reusable() {
			return connection
		}
		connection.close()
	}
	return nil
}

// putIdle adds a connection to the pool for keepAlive minus keepAliveMargin, or for
// defaultKeepAlive if keepAlive is not positive. It closes the connection if the pool is full.
func (c *Client) putIdle(connection *conn, keepAlive time.Duration) {
	if keepAlive <= 0 {
		keepAlive = defaultKeepAlive
	} else {
		keepAlive -= keepAliveMargin
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if keepAlive <= 0 || len(c.idle[connection.server]) >= maxIdleConnections {
		connection.close()
		return
	}
	connection.reused = true
	connection.expires = time.Now().Add(keepAlive)
	c.idle[connection.server] = append(c.idle[connection.server], connection)
}

// closeExpired closes the idle connections that have expired or received bytes.
func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, list := range c.idle {
		kept := list[:0]
		for _, connection := range list {
			if now.Before(connection.expires) && connection.reusable() {
				kept = append(kept, connection)
			} else {
				connection.close()
			}
		}
		if c.idle[server] = kept; len(kept) == 0 {
			delete(c.idle, server)
		}
	}
}
