package slots

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
)

// messageConn is a connection between an entry and a sidecar. One goroutine writes, another one
// reads.
type messageConn struct {
	netConn net.Conn
	// limited limits the size of each message.
	limited   *bounded.Reader
	decoder   *json.Decoder
	outgoing  chan *message
	closed    chan struct{}
	closeOnce sync.Once
	// cause is why the connection ended; it is set before closed is closed.
	cause error
}

// newMessageConn takes ownership of a connection. buffered reads from it, starting with the
// bytes that were read ahead.
func newMessageConn(conn net.Conn, buffered io.Reader) *messageConn {
	in := bounded.NewReader(buffered, maxMessageBytes)
	c := &messageConn{
		netConn: conn, limited: in, decoder: json.NewDecoder(in),
		outgoing: make(chan *message, maxOutgoingMessages), closed: make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// send queues a message for the writer without blocking. It closes the connection if the queue is
// full, because then the peer doesn't read. It reports false if the connection is closed.
func (c *messageConn) send(m *message) bool {
	select {
	case <-c.closed:
		return false
	case c.outgoing <- m:
		return true
	default:
		c.close(&OverflowError{Messages: maxOutgoingMessages})
		return false
	}
}

// writeLoop writes messages. Messages that are queued at the same time are flushed together.
func (c *messageConn) writeLoop() {
	out := bufio.NewWriter(c.netConn)
	encoder := json.NewEncoder(out)
	for {
		select {
		case <-c.closed:
			return
		case m := <-c.outgoing:
			if err := encoder.Encode(m); err != nil {
				c.close(errors.Wrap(err, "write"))
				return
			}
			if len(c.outgoing) > 0 {
				continue
			}
			if err := out.Flush(); err != nil {
				c.close(errors.Wrap(err, "write"))
				return
			}
		}
	}
}

// read returns the next message. It fails with *bounded.TooLargeError beyond maxMessageBytes.
func (c *messageConn) read() (*message, error) {
	c.limited.Reset()
	m := &message{}
	return m, c.decoder.Decode(m)
}

// close closes the connection and ends both goroutines. The first cause is kept.
func (c *messageConn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		// The error is irrelevant: the peer handles any end of the connection the same way.
		_ = c.netConn.Close()
	})
}

func (c *messageConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}
