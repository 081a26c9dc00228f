package connguard

import (
	"bytes"
	"container/heap"
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

// class orders connections by who gives way to a new one. Those that carry a request never do.
type class int

const (
	// classSilent connections have sent nothing yet.
	classSilent class = iota
	// classIdle connections wait for a further request, or carry another protocol with nothing to do.
	classIdle
	// classHead connections have sent a part of a head.
	classHead
	// classBody connections have sent a head, and not all of the body: their request hasn't been passed on.
	classBody
	waitingClasses

	classServing
	// classGone connections are closed, or about to be.
	classGone
)

const (
	// stalledWriteTimeout is how long a write without a deadline of its own may make no progress.
	stalledWriteTimeout = 10 * time.Second
	// progressBytes is the part of a write that counts as progress.
	progressBytes = 64 << 10
	// http2Preface begins a connection of HTTP/2.
	http2Preface = "PRI * HTTP/2.0"
	// hangupCheckInterval is the interval at which connections with pipelined requests are checked for their client.
	hangupCheckInterval = 50 * time.Millisecond
)

// HangupError is the cancellation cause of the requests of a client that has closed its connection.
type HangupError struct{}

func (*HangupError) Error() string { return "the client closed its connection" }

// conn is a guarded connection. The fields below cancel are guarded by the mutex of the guard.
type conn struct {
	net.Conn
	guard  *Guard
	opened time.Time
	// exceeded is the error of all reads after a limit was exceeded: a reader of lines drops the error of a read after
	// a part of a line, and reads again. Only the goroutine that reads uses it.
	exceeded error
	// received says that bytes have been read, multiplexed that they began HTTP/2. Only the goroutine that reads uses
	// them.
	received, multiplexed bool
	// writing is held during a write.
	writing sync.Mutex
	// hasWriteDeadline says that the user of the connection bounds its writes itself.
	hasWriteDeadline atomic.Bool
	// answered is set once a part of the answer to the latest request has been written.
	answered atomic.Bool
	// mayBeAhead says that the latest request was the first one, or came before the answer to the one before, so that
	// it is worth a call of the system to see whether the next does.
	mayBeAhead atomic.Bool
	// cancel cancels the requests of the connection; it is set before the first one.
	cancel context.CancelCauseFunc

	class class
	// place is the place in the list of the class, or nil; headPlace and streamPlace are those in the heaps of the
	// guard.
	place                  *list.Element
	headPlace, streamPlace int
	// streams is the number of running requests of an HTTP/2 connection.
	streams int64
	// served is set once a request has been served, takenOver once a handler has taken the connection over.
	served, takenOver bool
	// headBytes is the size of the incomplete head.
	headBytes int64
	// receivedSinceIdle says that bytes have been read since the last answer; early that bytes of the next request
	// came before the first ones of an answer. pipelined counts the requests in a row that came so.
	receivedSinceIdle, early bool
	pipelined                int
	// requests is the number of requests so far, watched that of the request whose client is being watched.
	requests, watched uint64
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.exceeded != nil {
		return 0, c.exceeded
	}
	if c.multiplexed {
		// The server answers frames without a bound on what it has to write: no more is read from a peer that
		// doesn't read.
		c.waitForWrite()
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.multiplexed = c.multiplexed || !c.received && bytes.HasPrefix([]byte(http2Preface), p[:min(n, len(http2Preface))])
		c.received = true
		if limitErr := c.guard.received(c, int64(n)); limitErr != nil {
			// net/http sends no answer after an error of the network.
			c.exceeded = &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: limitErr}
			return 0, c.exceeded
		}
	}
	return n, err
}

// Write implements net.Conn. Without a write deadline it fails once the peer has read nothing for
// stalledWriteTimeout.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if !c.answered.Swap(true) && c.mayBeAhead.Load() && netpeek.Peek(c.Conn) == netpeek.Readable {
		// The server reads no further than its buffer before it answers.
		c.guard.mu.Lock()
		c.early = c.early || c.class != classBody
		c.guard.mu.Unlock()
	}
	written := 0
	for !c.hasWriteDeadline.Load() {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(stalledWriteTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+progressBytes)])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.guard.report(c, reasonUnread)
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
	n, err := c.Conn.Write(p[written:])
	return written + n, err
}

// waitForWrite waits until the current write has ended.
func (c *conn) waitForWrite() {
	c.writing.Lock()
	defer c.writing.Unlock()
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.hasWriteDeadline.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// SetServing tells the guard whether a connection that was taken over has work to do. It then doesn't give way.
func (c *conn) SetServing(serving bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if serving {
		c.guard.move(c, classServing)
	} else {
		c.guard.move(c, classIdle)
	}
}

// setState processes a state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateHijacked:
		c.takenOver = true
		g.move(c, classServing)
	case http.StateActive:
		g.move(c, classServing)
	case http.StateIdle:
		c.served, c.receivedSinceIdle = true, false
		g.move(c, classIdle)
	}
}

// beginRequest processes the start of a request in its handler, whose body is still to come if hasBody is set. It
// reports whether the connection has to end with the answer.
func (c *conn) beginRequest(hasBody bool) (last bool) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.served && (c.early || !c.receivedSinceIdle) {
		c.pipelined++
	} else {
		c.pipelined = 0
	}
	c.early = false
	c.mayBeAhead.Store(c.pipelined > 0 || c.requests == 0)
	c.requests++
	c.answered.Store(false)
	if hasBody {
		g.move(c, classBody)
	} else {
		// net/http doesn't report a request as active whose bytes all came with the one before.
		g.move(c, classServing)
	}
	return c.pipelined >= maxPipelined
}

// beginStream processes the start of a request of HTTP/2. If there are too many, the connection with most gives way.
func (c *conn) beginStream() {
	g := c.guard
	g.mu.Lock()
	g.streams++
	c.streams++
	switch {
	case c.class == classGone:
	case c.streamPlace == outsideHeap:
		heap.Push(&g.multiplexed, c)
	default:
		heap.Fix(&g.multiplexed, c.streamPlace)
	}
	var victim *conn
	if limit := g.options.Limits.Streams; limit > 0 && g.streams > limit && g.multiplexed.Len() > 0 {
		victim = g.multiplexed.conns[0]
		g.move(victim, classGone)
	}
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, reasonStreams)
	}
}

// endStream processes the end of a request of HTTP/2.
func (c *conn) endStream() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams--
	c.streams--
	if c.streamPlace != outsideHeap {
		heap.Fix(&g.multiplexed, c.streamPlace)
		if c.streams == 0 {
			heap.Remove(&g.multiplexed, c.streamPlace)
		}
	}
}

// endBody processes the end of a request's body.
func (c *conn) endBody() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.class == classBody {
		c.guard.move(c, classServing)
	}
}

// watch cancels a running request when its client closes the connection. net/http sees that by itself unless the bytes
// of a further request have come first; once the answer has begun, writing it fails.
func (c *conn) watch(request uint64) {
	ticker := time.NewTicker(hangupCheckInterval)
	defer ticker.Stop()
	for range ticker.C {
		c.guard.mu.Lock()
		over := c.requests != request || c.class != classServing || c.answered.Load()
		c.guard.mu.Unlock()
		switch {
		case over:
			return
		case netpeek.HungUp(c.Conn):
			c.cancel(errors.WithStack(&HangupError{}))
			return
		}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.move(c, classGone)
	c.guard.mu.Unlock()
	if c.cancel != nil {
		// Without this the connection's context stays registered with that of the process.
		c.cancel(nil)
	}
	return c.Conn.Close()
}

// CloseWrite closes the write side, if supported.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// UnsupportedError reports that a connection has no file descriptor.
type UnsupportedError struct{}

func (*UnsupportedError) Error() string { return "the connection has no file descriptor" }

// SyscallConn implements syscall.Conn. It returns *UnsupportedError.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.WithStack(&UnsupportedError{})
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, guard: l.guard, opened: time.Now(), class: classGone, headPlace: outsideHeap, streamPlace: outsideHeap}
		if l.guard.add(c) {
			return c, nil
		}
		l.guard.close(c, reasonConnections)
	}
}

// SyscallConn implements syscall.Conn. It returns *UnsupportedError.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := l.Listener.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.WithStack(&UnsupportedError{})
}

// SetDeadline sets the deadline of Accept, if supported.
func (l *listener) SetDeadline(t time.Time) error {
	if deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return deadliner.SetDeadline(t)
	}
	return errors.WithStack(&UnsupportedError{})
}
