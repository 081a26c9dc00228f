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

// pastDeadline is a deadline that makes a blocked Read return immediately.
var pastDeadline = time.Unix(1, 0)

// conn is a connection of a caller. net/http calls its methods: while the connection is idle,
// one goroutine blocks in Read, and closes the connection if Read fails. A shutdown therefore
// ends an idle connection by making its Read fail.
type conn struct {
	net.Conn
	server    *Server
	closeOnce sync.Once
	// halfClosed is true once net/http has closed the write side. It then waits for the
	// caller to close by itself, so Close doesn't linger.
	halfClosed atomic.Bool
	// bodyUnread is true if the caller may still be sending the body of the last request.
	bodyUnread atomic.Bool

	mu sync.Mutex
	// idle is true while no byte has been read since the last request. awaitingFirst is true until
	// the first byte of the first request.
	idle, awaitingFirst bool
	// ending is true once the connection must be closed as soon as it is idle.
	ending bool
	// deadline is the read deadline that net/http has set, or its replacement.
	deadline time.Time
}

// Read reads from the connection. If the deadline of an idle connection has passed but bytes
// of a request have arrived, it reads them instead of failing.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendForArrivedBytes() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// extendForArrivedBytes reports whether bytes have arrived on an idle connection whose Read failed
// at the deadline. If so, it extends the deadline so that they can be read.
func (c *conn) extendForArrivedBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || netpeek.Peek(c.Conn) != netpeek.Readable {
		return false
	}
	c.markActiveLocked()
	return true
}

// markActive records that bytes of a request were read.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.markActiveLocked()
	}
}

// markActiveLocked marks the connection as busy. It restores the read deadline that
// interruptLocked has overwritten, or sets a new one if the deadline has passed. The caller holds
// mu.
func (c *conn) markActiveLocked() {
	c.idle, c.awaitingFirst = false, false
	now := time.Now()
	switch {
	case !c.deadline.IsZero() && !c.deadline.After(now):
		c.deadline = now.Add(requestStartTimeout)
	case !c.ending:
		return
	}
	// An error means that the connection is already closed, which the next Read reports.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// markIdle records that the last request has been answered.
func (c *conn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.awaitingFirst = true, false
}

// interruptIdle ends the connection if it waits for a request other than its first.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.awaitingFirst {
		c.interruptLocked()
	}
}

// interruptAwaitingFirst ends the connection if it waits for its first request.
func (c *conn) interruptAwaitingFirst() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingFirst {
		c.interruptLocked()
	}
}

// interruptLocked makes the blocked Read return. The goroutine that reads closes the connection
// unless bytes have arrived. The caller holds mu.
func (c *conn) interruptLocked() {
	c.ending = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// SetReadDeadline sets the read deadline. On an idle connection that is ending, it only
// records the deadline, as the connection's own one must stay in the past.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending && c.idle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the write side of the connection, if supported. net/http calls it to have
// pending data sent before it closes the connection.
func (c *conn) CloseWrite() error {
	c.halfClosed.Store(true)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. If unread bytes have arrived, it lingers first, so that the
// caller can read its answer.
func (c *conn) Close() error {
	c.linger()
	c.closeOnce.Do(func() { c.server.untrackConn(c) })
	return c.Conn.Close()
}

// linger closes the write side and reads the bytes that a caller has sent after its last
// request until the caller closes too or a bound is reached. The kernel resets a connection
// that is closed with unread bytes, and the caller then loses the part of the answer that it
// hasn't read yet.
func (c *conn) linger() {
	timeout, remaining := lingerTimeout, maxLingerBytes
	bodyUnread := c.bodyUnread.Load()
	if bodyUnread {
		timeout, remaining = unreadBodyTimeout, maxUnreadBodyBytes
	}
	if c.server.closing.Load() || c.halfClosed.Load() || !bodyUnread && netpeek.Peek(c.Conn) != netpeek.Readable {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	var discarded [4 << 10]byte
	for deadline := time.Now().Add(timeout); remaining > 0 && time.Now().Before(deadline) && !c.server.closing.Load(); {
		switch netpeek.Peek(c.Conn) {
		case netpeek.Readable:
			n, err := c.Conn.Read(discarded[:])
			if err != nil {
				return
			}
			remaining -= n
		case netpeek.Empty:
			time.Sleep(lingerCheckInterval)
		default:
			return
		}
	}
}
