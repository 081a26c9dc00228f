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

// testNetwork connects the callers, the gateway and the backend servers of a test.
type testNetwork interface {
	listen(t *testing.T) net.Listener
	// dial opens the gateway's connections; nil means plain TCP.
	dial() func(ctx context.Context, network, address string) (net.Conn, error)
	// client returns the callers' HTTP client.
	client() *http.Client
}

// tcpNetwork uses loopback TCP.
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

// pipeNetwork is an in-memory network for virtual time, in which time advances only while all
// goroutines wait. Load on the machine thus doesn't affect the timing.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// addressedListener is a listener of a pipeNetwork with its address.
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
			return nil, &net.AddrError{Err: "no listener", Addr: address}
		}
		return listener.dial(ctx)
	}
}

func (p *pipeNetwork) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: p.dial()}}
}

// newVirtualTimeEntry returns an entry in virtual time. It must be called in a synctest bubble.
func newVirtualTimeEntry(t *testing.T, servers ...connHandler) *testEntry {
	t.Cleanup(steady.Replace(time.Now))
	// Runs late, after the end of all pauses of servers.
	t.Cleanup(func() { time.Sleep(2 * longPause) })
	network := &pipeNetwork{listeners: map[string]*pipeListener{}}
	return newTestEntryOnNetwork(t, network, 0, func(*testEntry, *gateway.Options) {}, servers...)
}

// runInVirtualTime runs a subtest in virtual time.
func runInVirtualTime(t *testing.T, test func(t *testing.T), name ...any) {
	t.Run(fmt.Sprint(name...), func(t *testing.T) { synctest.Test(t, test) })
}
