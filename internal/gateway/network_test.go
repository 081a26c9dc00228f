package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// testNetwork joins a world's callers, gateway and backend servers.
type testNetwork interface {
	listen(t *testing.T) net.Listener
	// dial opens the gateway's connections; nil: plain TCP.
	dial() func(ctx context.Context, network, address string) (net.Conn, error)
	// client is that of the callers.
	client() *http.Client
}

// tcpNetwork is the network of the machine.
type tcpNetwork struct{}

func (tcpNetwork) listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (tcpNetwork) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	return nil
}

func (tcpNetwork) client() *http.Client { return http.DefaultClient }

// pipeNetwork is a network in memory, for virtual time: its time passes only while everybody
// waits, so that a busy machine makes nobody late.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// addressedListener is a listener of pipes, with the address under which it is found.
type addressedListener struct {
	*pipeListener
	address net.TCPAddr
}

func (l *addressedListener) Addr() net.Addr { return &l.address }

func (p *pipeNetwork) listen(*testing.T) net.Listener {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &addressedListener{newPipeListener(), net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1 + len(p.listeners)}}
	p.listeners[l.address.String()] = l.pipeListener
	return l
}

func (p *pipeNetwork) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		p.mu.Lock()
		listener, ok := p.listeners[address]
		p.mu.Unlock()
		if !ok {
			return nil, &net.AddrError{Err: "nobody listens", Addr: address}
		}
		return listener.dial(ctx)
	}
}

func (p *pipeNetwork) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.dial()}}
}

// newVirtualTimeEntry returns a world in virtual time. It must be made in a bubble.
func newVirtualTimeEntry(t *testing.T, servers ...connHandler) *testEntry {
	t.Cleanup(steady.Replace(time.Now))
	// Runs late: servers that pause have all ended then.
	t.Cleanup(func() { time.Sleep(2 * longPause) })
	on := &pipeNetwork{listeners: map[string]*pipeListener{}}
	return newTestEntryOnNetwork(t, on, 0, func(*testEntry, *gateway.Options) {}, servers...)
}

// runInVirtualTime runs a subtest in virtual time.
func runInVirtualTime(t *testing.T, test func(t *testing.T), name ...any) {
	t.Run(fmt.Sprint(name...), func(t *testing.T) { synctest.Test(t, test) })
}
