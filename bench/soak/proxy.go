package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkMode is the failure mode of a Proxy.
type LinkMode int

// Failure modes of a link.
const (
	LinkUp LinkMode = iota
	// LinkSlow delays forwarded data by linkDelay.
	LinkSlow
	// LinkSilent forwards nothing and keeps connections open.
	LinkSilent
	// LinkOneWay forwards data to the target and holds back the data to callers.
	LinkOneWay
	// LinkReset resets existing and new connections.
	LinkReset
)

const (
	// linkDelay is the delay of a slow link.
	linkDelay = 80 * time.Millisecond
	// linkPollInterval is the time between two checks whether a held direction may continue.
	linkPollInterval = 10 * time.Millisecond
)

// Proxy forwards TCP connections over a link with configurable faults. It is safe for concurrent
// use.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  LinkMode
	conns map[net.Conn]struct{}
}

// NewProxy listens on an address and forwards its connections to a target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// SetMode changes the failure mode of the link. Data that was held back is forwarded once the mode
// allows it.
func (p *Proxy) SetMode(mode LinkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == LinkReset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(LinkReset)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// With a linger time of 0, the peer receives a reset instead of a FIN.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Proxy) currentMode() LinkMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// track registers a connection. It reports false if the link resets connections.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.mode != LinkReset
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *Proxy) forward(caller net.Conn) {
	defer p.untrack(caller)
	if !p.track(caller) {
		reset(caller)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	defer p.untrack(server)
	p.track(server)
	ended := make(chan struct{}, 2)
	go p.copy(server, caller, false, ended)
	go p.copy(caller, server, true, ended)
	<-ended
}

// copy forwards one direction until it ends.
func (p *Proxy) copy(to io.Writer, from io.Reader, toCaller bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.delay(toCaller)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay blocks while the failure mode holds back or delays the direction.
func (p *Proxy) delay(toCaller bool) {
	for {
		switch mode := p.currentMode(); {
		case mode == LinkSilent, mode == LinkOneWay && toCaller:
			time.Sleep(linkPollInterval)
		case mode == LinkSlow:
			time.Sleep(linkDelay)
			return
		default:
			return
		}
	}
}
