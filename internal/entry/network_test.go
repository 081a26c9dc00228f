package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// testNetwork connects the processes of a test within a synctest bubble. Traffic to an address can
// be dropped in each direction.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*testListener
}

// refusedConnError is returned by dial if no listener accepts connections at the address.
type refusedConnError struct{ address string }

func (e *refusedConnError) Error() string { return fmt.Sprintf("%s refused the connection", e.address) }

func newTestNetwork() *testNetwork {
	return &testNetwork{listeners: map[string]*testListener{}}
}

// removeListener prevents new connections to an address.
func (n *testNetwork) removeListener(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.listeners, address)
}

type testAddr string

func (a testAddr) Network() string { return "test" }
func (a testAddr) String() string  { return string(a) }

type testListener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
	// dropIn discards the data written to the listener's side, dropOut the data written by it.
	dropIn  atomic.Bool
	dropOut atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func (n *testNetwork) listen(address string) *testListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &testListener{address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *testNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &refusedConnError{address: address}
	}
	near, far := net.Pipe()
	select {
	case l.accept <- &testConn{Conn: far, drop: &l.dropOut}:
	case <-l.closed:
		return nil, &refusedConnError{address: address}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	l.conns = append(l.conns, near, far)
	l.mu.Unlock()
	return &testConn{Conn: near, drop: &l.dropIn}, nil
}

func (l *testListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *testListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *testListener) Addr() net.Addr { return testAddr(l.address) }

// closeConns closes all connections to the listener.
func (l *testListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

// testConn discards writes while drop is set.
type testConn struct {
	net.Conn
	drop *atomic.Bool
}

func (c *testConn) Write(b []byte) (int, error) {
	if c.drop.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
