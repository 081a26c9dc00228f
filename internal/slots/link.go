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

// link is one connection between an entry and a sidecar. One goroutine writes, one reads.
type link struct {
	conn net.Conn
	// in bounds the bytes of each message.
	in     *bounded.Reader
	reader *json.Decoder
	unsent chan *message
	closed chan struct{}
	once   sync.Once
	// cause is why the connection ended; it is set before closed is closed.
	cause error
}

// newLink takes over a connection; buffered holds what was read of it already.
func newLink(conn net.Conn, buffered io.Reader) *link {
	in := bounded.NewReader(buffered, maxMessageBytes)
	l := &link{
		conn: conn, in: in, reader: json.NewDecoder(in),
		unsent: make(chan *message, maxUnsentMessages), closed: make(chan struct{}),
	}
	go l.write()
	return l
}

// send hands a message to the writer and doesn't wait. A connection whose other side
// doesn't read is closed. It reports false if the connection is closed.
func (l *link) send(m *message) bool {
	select {
	case <-l.closed:
		return false
	case l.unsent <- m:
		return true
	default:
		l.end(&OverflowError{Messages: maxUnsentMessages})
		return false
	}
}

// write writes messages; those that wait together go out together.
func (l *link) write() {
	out := bufio.NewWriter(l.conn)
	encoder := json.NewEncoder(out)
	for {
		select {
		case <-l.closed:
			return
		case m := <-l.unsent:
			if err := encoder.Encode(m); err != nil {
				l.end(errors.Wrap(err, "write"))
				return
			}
			if len(l.unsent) > 0 {
				continue
			}
			if err := out.Flush(); err != nil {
				l.end(errors.Wrap(err, "write"))
				return
			}
		}
	}
}

// read returns the next message. It fails with *bounded.TooLargeError beyond maxMessageBytes.
func (l *link) read() (*message, error) {
	l.in.Reset()
	m := &message{}
	return m, l.reader.Decode(m)
}

// end ends the connection, and both goroutines with it. The first cause is kept.
func (l *link) end(cause error) {
	l.once.Do(func() {
		l.cause = cause
		close(l.closed)
		// Nothing is lost with the connection that the other side doesn't learn by it.
		_ = l.conn.Close()
	})
}

func (l *link) ended() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}
