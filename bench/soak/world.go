package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// Sizes of a usual deployment.
	usualEntries = 3
	usualEngines = 4
	usualPlain   = 2
	engineSlots  = 4
	plainSlots   = 8
	streamEvents = 12
	// renewEvery is the time between two renewals of a backend server's entry.
	renewEvery = time.Second
	// Ports of the processes; each machine has an address of its own.
	internalPort = 7600
	frontPort    = 8221
	readyPort    = 8224
	serverPort   = 8300
	proxyPort    = 8301
	storePort    = 8225

	servicePlain  = "ledger"
	serviceEngine = "assistant"
)

// machine is one machine with its process.
type machine struct {
	standin.Machine
	process *deploy.Process
	// store is the link of an entry to the store.
	store *Proxy
	// busy says that a fault has the process.
	busy atomic.Bool
	// incarnation counts the starts of the process.
	mu          sync.Mutex
	incarnation int
}

func (m *machine) started() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// place is where one backend server after the other lives.
type place struct {
	mu     sync.Mutex
	ip     string
	server *standin.Server
	link   *Proxy
	change int
	// leaving says that the server drains or is gone.
	leaving bool
	births  int
}

// world is a deployment between stand-ins.
type world struct {
	options  Options
	store    *standin.Store
	http     *http.Server
	ledger   *ledger
	entries  []*machine
	sidecars []*machine
	engines  []*place
	plain    []*place
	manifest manifests

	mu     sync.Mutex
	drains []drain
}

// address returns an address of this world: worlds that run at the same time have
// networks of their own.
func (o Options) address(group, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNetwork+o.Network, group, i+1)
}

// firstNetwork is the first second byte of loopback addresses that are used.
const firstNetwork = 20

func join(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func newWorld(ctx context.Context, o Options) (*world, error) {
	w := &world{options: o, store: standin.NewStore(), ledger: newLedger()}
	address := join(o.address(0, 0), storePort)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return w, errors.WithStack(err)
	}
	w.http = &http.Server{Handler: w.store}
	go func() {
		// It ends with close.
		_ = w.http.Serve(listener)
	}()
	w.manifest.publish(w.store, nil)
	for i := range o.Engines {
		if err := w.addPlace(&w.engines, 2, i, serviceEngine); err != nil {
			return w, err
		}
		if err := w.addSidecar(ctx, i); err != nil {
			return w, err
		}
	}
	for i := range o.Plain {
		if err := w.addPlace(&w.plain, 3, i, servicePlain); err != nil {
			return w, err
		}
	}
	for i := range o.Entries {
		if err := w.addEntry(ctx, i, address); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) addPlace(list *[]*place, group, i int, service string) error {
	p := &place{ip: w.options.address(group, i)}
	*list = append(*list, p)
	var err error
	if p.link, err = NewProxy(join(p.ip, proxyPort), join(p.ip, serverPort)); err != nil {
		return err
	}
	return w.open(p, service)
}

// open starts a backend server at a place that has none.
func (w *world) open(p *place, service string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.births++
	server := &standin.Server{
		ID: fmt.Sprintf("i-%s-%d", p.ip, p.births), Service: service, RegisteredAddress: join(p.ip, proxyPort),
		Address: join(p.ip, serverPort), Slots: plainSlots, StartedAt: time.Now(), Ledger: w.ledger,
	}
	if service == serviceEngine {
		server.Slots, server.Events = engineSlots, streamEvents
	}
	if err := server.Start(); err != nil {
		return err
	}
	p.server, p.change, p.leaving = server, 1, false
	w.store.PutServer(server, p.change, false)
	return nil
}

// renew renews the entries of all backend servers that live.
func (w *world) renew() {
	for _, p := range w.places() {
		p.mu.Lock()
		if p.server != nil && !p.leaving {
			p.change++
			w.store.PutServer(p.server, p.change, false)
		}
		p.mu.Unlock()
	}
}

func (w *world) places() []*place {
	return append(append([]*place{}, w.engines...), w.plain...)
}

func (w *world) addSidecar(ctx context.Context, i int) error {
	ip := w.options.address(2, i)
	m := &machine{Machine: standin.Machine{
		Name: fmt.Sprint("side-", i), IP: ip, Engine: join(ip, serverPort), Store: join(w.options.address(0, 0), storePort), InternalPort: internalPort,
	}}
	w.sidecars = append(w.sidecars, m)
	return w.launch(ctx, m, "platform-sidecar", "http://"+join(ip, internalPort+1)+"/metrics")
}

func (w *world) addEntry(ctx context.Context, i int, store string) error {
	ip, way := w.options.address(1, i), join(w.options.address(0, 10+i), storePort)
	m := &machine{Machine: standin.Machine{
		Name: fmt.Sprint("entry-", i), IP: ip, Front: join(ip, frontPort), Ready: join(ip, readyPort), Store: way, InternalPort: internalPort,
	}}
	w.entries = append(w.entries, m)
	var err error
	if m.store, err = NewProxy(way, store); err != nil {
		return err
	}
	return w.launch(ctx, m, "platform-entry", m.ReadyURL())
}

func (w *world) launch(ctx context.Context, m *machine, role, health string) error {
	settings := filepath.Join(w.options.Dir, m.Name+".toml")
	if err := os.WriteFile(settings, []byte(m.Settings()), 0o600); err != nil {
		return errors.WithStack(err)
	}
	m.process = deploy.NewProcess(deploy.ProcessOptions{
		Name: m.Name, Program: w.options.Program, Args: []string{role}, Env: []string{standin.SettingsVariable + "=" + settings},
		Log: filepath.Join(w.options.Dir, m.Name+".log"), Health: health,
	})
	return m.process.Start(ctx)
}

// close ends everything that this world started.
func (w *world) close() error {
	var first error
	for _, m := range append(append([]*machine{}, w.entries...), w.sidecars...) {
		if m.process == nil {
			continue
		}
		if err := m.process.Continue(); err != nil && first == nil {
			first = err
		}
		if err := m.process.Kill(); err != nil && first == nil {
			first = err
		}
		if m.store != nil {
			m.store.Close()
		}
	}
	for _, p := range w.places() {
		p.link.Close()
		if p.server != nil {
			p.server.Stop()
		}
	}
	if w.http != nil {
		_ = w.http.Close()
	}
	return first
}
