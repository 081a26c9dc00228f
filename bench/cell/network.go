package cell

import (
	"context"
	"net"
	"sync"
)

// acceptBacklog is the maximum number of connections waiting to be accepted by a
// listener.
const acceptBacklog = 1024

// Network connects the parts of a cell by in-memory pipes. Goroutines of a synctest
// bubble block durably on these, so that virtual time can advance. Addresses are names
// of the form ip:port.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// conns holds both ends of each open connection by the dialled address.
	conns        map[string]map[*conn]bool
	disconnected map[string]bool
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, conns: map[string]map[*conn]bool{}, disconnected: map[string]bool{},
	}
}

// RefusedError reports that an address has no listener or is disconnected.
type RefusedError struct{ Address string }

func (e *RefusedError) Error() string { return "connection to " + e.Address + " was refused" }

// AddressInUseError reports that an address already has a listener.
type AddressInUseError struct{ Address string }

func (e *AddressInUseError) Error() string { return e.Address + " is in use" }

// Listen returns a listener for an address. It returns an AddressInUseError if there
// is one already.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &AddressInUseError{Address: address}
	}
	l := &listener{
		network: n, address: address, accept: make(chan net.Conn, acceptBacklog), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to an address. It returns a net.OpError with a RefusedError if it
// can't. It has the signature of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, disconnected := n.listeners[address], n.disconnected[address]
	n.mu.Unlock()
	if l == nil || disconnected {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: &RefusedError{Address: address}}
	}
	clientEnd, serverEnd := net.Pipe()
	client, server := n.track(address, clientEnd), n.track(address, serverEnd)
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	client.Close()
	server.Close()
	return nil, &net.OpError{Op: "dial", Net: "memory", Err: &RefusedError{Address: address}}
}

func (n *Network) track(address string, inner net.Conn) *conn {
	c := &conn{Conn: inner, network: n, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == nil {
		n.conns[address] = map[*conn]bool{}
	}
	n.conns[address][c] = true
	return c
}

// Disconnect closes all connections to an address and refuses new ones until Reconnect.
func (n *Network) Disconnect(address string) {
	n.mu.Lock()
	n.disconnected[address] = true
	var broken []*conn
	for c := range n.conns[address] {
		broken = append(broken, c)
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Reconnect makes an address reachable again after Disconnect.
func (n *Network) Reconnect(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.disconnected, address)
}

// conn is one end of a connection, tracked by its network.
type conn struct {
	net.Conn
	network *Network
	address string
}

// Close closes the connection and removes it from the network.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns[c.address], c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr returns the address that the listener was created with.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns "memory".
func (address) Network() string { return "memory" }

// String returns the address in the form ip:port.
func (a address) String() string { return string(a) }
