package boundedtest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slowLinkBytesPerSecond is the rate of the smallest links, 10 Mbit/s.
	slowLinkBytesPerSecond = 10_000_000 / 8
	// packetBytes is the size of a packet.
	packetBytes = 1400
)

// SlowLink limits the rate of all bytes that one process receives. The zero value is ready to use.
type SlowLink struct {
	// Connect opens the connections below the link. If nil, they are opened over the network.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// Received counts the bytes.
	Received atomic.Int64

	mu     sync.Mutex
	freeAt time.Time
}

// Dial opens a connection over the link.
func (l *SlowLink) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	connect := l.Connect
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	conn, err := connect(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, link: l}, nil
}

type slowConn struct {
	net.Conn
	link *SlowLink
}

// Read receives one packet, in its turn on the link.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	c.link.Received.Add(int64(n))
	time.Sleep(time.Until(c.link.reserve(n)))
	return n, err
}

// reserve returns when n more bytes have been received.
func (l *SlowLink) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / slowLinkBytesPerSecond)
	return l.freeAt
}
