package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// Ports of the processes. Each machine has a loopback address of its own.
	internalPort = 7600
	frontPort    = 8221
	readyPort    = 8224
	serverPort   = 8300
	storePort    = 8225
	// heartbeat is the time between two registrations of a server.
	heartbeat = 1200 * time.Millisecond
	// startTimeout bounds the start of the programs.
	startTimeout = 20 * time.Second
	// stopTimeout is the time from SIGTERM to SIGKILL at the end.
	stopTimeout = time.Second

	host      = "review.example"
	callerKey = "key-of-the-one-tenant"
)

// versionBounds are the bounds on bad versions in the settings, which the stand-in's settings lack.
var versionBounds = fmt.Sprintf("exposure_share = %v\nexposure_slack = %v\n", exposureShare, exposureSlack)

// bed is a small deployment of the programs with stand-ins for the store and the servers.
type bed struct {
	network int
	folder  string
	store   *standin.Store
	record  *record
	http    *http.Server

	mu       sync.Mutex
	machines []*machine
	servers  []*server
	version  int
}

// machine runs one process of the system.
type machine struct {
	standin.Machine
	role    string
	command *exec.Cmd
	ended   chan struct{}
}

// record is the list of what was sent, answered and run.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// newBed starts the store on the first free loopback network.
func newBed() (*bed, error) {
	b := &bed{store: standin.NewStore(), record: &record{began: time.Now()}}
	var err error
	if b.folder, err = os.MkdirTemp("", "rig-"); err != nil {
		return b, err
	}
	var listener net.Listener
	for b.network = 150; b.network < 250; b.network++ {
		if listener, err = net.Listen("tcp", b.storeAddress()); err == nil {
			break
		}
	}
	if err != nil {
		return b, err
	}
	b.http = &http.Server{Handler: b.store}
	go func() { _ = b.http.Serve(listener) }()
	return b, nil
}

func (b *bed) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", b.network, group, i+1) }

func join(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (b *bed) storeAddress() string { return join(b.ip(0, 0), storePort) }

// putManifest writes the next version of the manifest.
func (b *bed) putManifest(m standin.Manifest) {
	b.version++
	m.Version = b.version
	m.Accounts = []standin.Account{{Name: "tenant", Keys: []string{callerKey}, Unit: "token_count", DefaultTokens: 1}}
	b.store.PutManifest(m)
	b.record.add("operator: manifest version %d acknowledged", m.Version)
}

// addEntry starts an entry.
func (b *bed) addEntry(i int) (*machine, error) {
	ip := b.ip(1, i)
	m := &machine{role: "platform-entry", Machine: standin.Machine{
		Name: fmt.Sprint("edge-", i+1), IP: ip, Front: join(ip, frontPort), Ready: join(ip, readyPort), Store: b.storeAddress(), InternalPort: internalPort,
	}}
	return m, b.launch(m)
}

// addSidecar starts the sidecar of the engine on machine i of group 2.
func (b *bed) addSidecar(i int) (*machine, error) {
	ip := b.ip(2, i)
	m := &machine{role: "platform-sidecar", Machine: standin.Machine{
		Name: fmt.Sprint("side-", i+1), IP: ip, Engine: join(ip, serverPort), Store: b.storeAddress(), InternalPort: internalPort,
	}}
	return m, b.launch(m)
}

// launch starts the process of a machine with the command of the deploy file.
func (b *bed) launch(m *machine) error {
	settings := filepath.Join(b.folder, m.Name+".toml")
	if err := os.WriteFile(settings, []byte(strings.Replace(m.Settings(), "[bounds]\n", "[bounds]\n"+versionBounds, 1)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(b.folder, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command("target/lagoonlane", m.role, "--metrics-port", "9464")
	m.command.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), m.command
	m.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, known := range b.machines {
		if known == m {
			return nil
		}
	}
	b.machines = append(b.machines, m)
	return nil
}

// signal sends a signal to the process of a machine.
func (b *bed) signal(m *machine, s syscall.Signal) error {
	b.record.add("%s: signal %v", m.Name, s)
	return m.command.Process.Signal(s)
}

// awaitReady waits until an entry reports that it is ready.
func (m *machine) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(m.ReadyURL())
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.Name)
}

// renew registers the servers that are in service again until ctx is done.
func (b *bed) renew(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		b.mu.Lock()
		servers := append([]*server(nil), b.servers...)
		b.mu.Unlock()
		for _, s := range servers {
			s.register()
		}
	}
}

// close ends all processes and servers. It returns the logs' folder if keep is set, and removes it otherwise.
func (b *bed) close(keep bool) {
	for _, m := range b.machines {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, m := range b.machines {
		select {
		case <-m.ended:
		case <-deadline:
			_ = m.command.Process.Kill()
			deadline = time.After(0)
		}
	}
	for _, m := range b.machines {
		_ = m.command.Process.Kill()
		<-m.ended
	}
	for _, s := range b.servers {
		s.stop()
	}
	if b.http != nil {
		_ = b.http.Close()
	}
	if keep {
		fmt.Println("logs of the processes:", b.folder)
		return
	}
	_ = os.RemoveAll(b.folder)
}

// addEntries starts entries and waits until they are ready.
func (b *bed) addEntries(n int) ([]*machine, error) {
	var entries []*machine
	for i := range n {
		m, err := b.addEntry(i)
		if err != nil {
			return nil, err
		}
		entries = append(entries, m)
	}
	for _, m := range entries {
		if err := m.awaitReady(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}
