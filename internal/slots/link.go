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

// messageConn is one connection between an entry and a sidecar. One goroutine writes, one reads.
type messageConn struct {
	netConn net.Conn
	// limited bounds the bytes of each message.
	limited   *bounded.Reader
	decoder   *json.Decoder
	outgoing  chan *message
	closed    chan struct{}
	closeOnce sync.Once
	// cause is why the connection ended; it is set before closed is closed.
	cause error
}

// newMessageConn takes over a connection; buffered holds what was read of it already.
func newMessageConn(conn net.Conn, buffered io.Reader) *messageConn {
	in := bounded.NewReader(buffered, maxMessageBytes)
	c := &messageConn{
		netConn: conn, limited: in, decoder: json.NewDecoder(in),
		outgoing: make(chan *message, maxOutgoingMessages), closed: make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// send hands a message to the writer and doesn't wait. A connection whose other side
// doesn't read is closed. It reports false if the connection is closed.
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

// writeLoop writes messages; those that wait together go out together.
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

// close ends the connection, and both goroutines with it. The first cause is kept.
func (c *messageConn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.closed)
		// Nothing is lost with the connection that the other side doesn't learn by it.
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
