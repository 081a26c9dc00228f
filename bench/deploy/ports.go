package deploy

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// The ports are below the ephemeral range, so that an outgoing connection cannot take a port
// between its choice and its use.
const (
	firstPort = 12_000
	portCount = 20_000
	// portStride spreads the first ports of processes with adjacent process ids.
	portStride = 397
)

// portPicker chooses free ports of 127.0.0.1, each at most once per portCount choices.
type portPicker struct {
	mu   sync.Mutex
	next int
}

var ports = &portPicker{next: os.Getpid() * portStride}

// pickAddress returns an ip:port without a listener. It returns *NoPortError if there is none.
func (p *portPicker) pickAddress() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portCount {
		port := firstPort + p.next%portCount
		p.next++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.WithStack(err)
		}
		return address, nil
	}
	return "", errors.WithStack(&NoPortError{})
}
