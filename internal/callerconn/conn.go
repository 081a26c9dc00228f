package callerconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

// past is a deadline that wakes a Read at once.
var past = time.Unix(1, 0)

// conn is a connection of a caller. Its reads are those of net/http: while it is idle,
// one goroutine reads, and a failed Read makes that goroutine close the connection.
type conn struct {
	net.Conn
	server *Server
	closed sync.Once
	// halfClosed says that net/http has told the caller of the end, and waits by itself.
	halfClosed atomic.Bool

	mu sync.Mutex
	// idle is true while nothing was read since the last request; fresh, until the
	// first byte of the first one.
	idle, fresh bool
	// ending is true once the connection is to end as soon as it is idle.
	ending bool
	// deadline is the read deadline that net/http has set.
	deadline time.Time
}

// Read reads, also past the deadline of an idle connection if a request has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.takeUp() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.started()
	}
	return n, err
}

// takeUp reports whether bytes have reached an idle connection that is about to end,
// and lets them be read.
func (c *conn) takeUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || netpeek.Look(c.Conn) != netpeek.Waiting {
		return false
	}
	c.startLocked()
	return true
}

// started notes that bytes of a request were read.
func (c *conn) started() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.startLocked()
	}
}

func (c *conn) startLocked() {
	c.idle, c.fresh = false, false
	now := time.Now()
	switch {
	case !c.deadline.IsZero() && !c.deadline.After(now):
		c.deadline = now.Add(startBound)
	case !c.ending:
		return
	}
	// A failure means that the connection is closed already: the Read that follows says so.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

func (c *conn) becameIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.fresh = true, false
}

// endIdle ends a connection that waits for a further request.
func (c *conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.fresh {
		c.endLocked()
	}
}

// endFresh ends a connection that waits for its first request.
func (c *conn) endFresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh {
		c.endLocked()
	}
}

// endLocked wakes the goroutine that reads; it closes the connection if it has read nothing.
func (c *conn) endLocked() {
	c.ending = true
	_ = c.Conn.SetReadDeadline(past)
}

// SetReadDeadline sets the deadline, except of a connection that is to end while idle.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http send what is left before it closes the connection.
func (c *conn) CloseWrite() error {
	c.halfClosed.Store(true)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection, after a moment for a caller that has sent more to read its
// answer.
func (c *conn) Close() error {
	c.linger()
	c.closed.Do(func() { c.server.forget(c) })
	return c.Conn.Close()
}

// linger reads what a caller has sent beyond its last request until the caller closes
// too: the kernel resets a connection that is closed with unread bytes, and what the
// caller has not read of its answer is lost with it.
func (c *conn) linger() {
	if c.server.closing.Load() || c.halfClosed.Load() || netpeek.Look(c.Conn) != netpeek.Waiting {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	var waste [4 << 10]byte
	left := lingerBytes
	for end := time.Now().Add(lingerBound); left > 0 && time.Now().Before(end) && !c.server.closing.Load(); {
		switch netpeek.Look(c.Conn) {
		case netpeek.Waiting:
			n, err := c.Conn.Read(waste[:])
			if err != nil {
				return
			}
			left -= n
		case netpeek.Quiet:
			time.Sleep(lingerWait)
		default:
			return
		}
	}
}
