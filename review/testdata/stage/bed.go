package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	program      = "target/lagoonlane"
	metricsPort  = 9464
	frontPort    = 8221
	readyPort    = 8224
	storePort    = 8225
	enginePort   = 8300
	internalPort = 7600

	// heartbeat is heartbeat_ms; the entry of a server is removed after registrationLife of silence.
	heartbeat        = 1200 * time.Millisecond
	registrationLife = 3 * heartbeat

	startTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// caseTimeout ends a case that takes too long.
	caseTimeout = 115 * time.Second

	host      = "stage.example"
	clientKey = "key-stage"
	tenant    = "stage"
)

// Bounds of the small deployments (covek-halo, khongor-ribline).
const (
	contactTime = 3 * time.Second
	entryMB     = 134
	entryFDs    = 4100
	sidecarMB   = 216
	sidecarFDs  = 4096
)

// settingsText is a settings file of the platform, with the figures of a small deployment.
const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = "z"
region = "r"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
%s
[zones]
z = "r"
[listen]
%s
[limits]
cpu_share = 0.32
cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
stretch_max_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
quota_window_s = 8
quota_overshoot = 0.1
quota_slack = 110000
exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 7.1
[platform]
address = %q
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`

// bed is a small deployment on loopback addresses.
type bed struct {
	// trouble says whether the case disturbs the deployment.
	trouble bool
	store   *standin.Store
	ctx     context.Context
	cancel  context.CancelFunc

	dir, network string
	began        time.Time
	servers      []*http.Server
	processes    []*process

	closeOnce sync.Once

	mu     sync.Mutex
	record *os.File
}

func newBed(recordPath string, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: trouble, store: standin.NewStore(), dir: dir, began: time.Now(), record: record}
	b.ctx, b.cancel = context.WithTimeout(context.Background(), caseTimeout)
	for range 20 {
		b.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(180), rand.IntN(250))
		if err = b.serve(b.address(1, storePort), b.store); err == nil {
			b.note("trouble: %v", trouble)
			return b, nil
		}
	}
	b.close()
	return nil, err
}

// ip returns the i-th address of the bed.
func (b *bed) ip(i int) string { return b.network + "." + strconv.Itoa(i) }

func (b *bed) address(i, port int) string { return net.JoinHostPort(b.ip(i), strconv.Itoa(port)) }

// serve serves a handler on an address until the end of the case.
func (b *bed) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	b.servers = append(b.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends everything that the case started.
func (b *bed) close() { b.closeOnce.Do(b.closeAll) }

func (b *bed) closeAll() {
	b.cancel()
	for _, p := range b.processes {
		p.kill()
	}
	for _, server := range b.servers {
		_ = server.Close()
	}
	if keep := os.Getenv("STAGE_KEEP"); keep == "" {
		_ = os.RemoveAll(b.dir)
	}
	_ = b.record.Close()
}

// process is one of the project's processes on its own address.
type process struct {
	bed     *bed
	name    string
	ip      string
	args    []string
	setting string
	log     string
	command *exec.Cmd
	done    chan struct{}
}

// entry returns the entry at the i-th address, not started.
func (b *bed) entry(i int) *process {
	listen := fmt.Sprintf("front = %q\nready = %q", b.address(i, frontPort), b.address(i, readyPort))
	return b.process(i, "edge", "entry", "", listen, entryMB, entryFDs)
}

// sidecar returns the sidecar of the engine at the i-th address, not started.
func (b *bed) sidecar(i int) *process {
	return b.process(i, "side", "sidecar", fmt.Sprintf("app = %q", b.address(i, enginePort)), "", sidecarMB, sidecarFDs)
}

func (b *bed) process(i int, class, role, app, listen string, memory, descriptors int) *process {
	name := fmt.Sprintf("%s-%d", class, i)
	p := &process{
		bed: b, name: name, ip: b.ip(i), args: []string{"platform-" + role, "--metrics-port", strconv.Itoa(metricsPort)},
		setting: filepath.Join(b.dir, name+".toml"), log: filepath.Join(b.dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, role, class, class, p.ip, internalPort, internalPort+15, app, listen, memory, descriptors, b.address(1, storePort))
	if err := os.WriteFile(p.setting, []byte(text), 0o600); err != nil {
		b.note("settings of %s: %v", name, err)
	}
	b.processes = append(b.processes, p)
	return p
}

// start starts the process.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, p.args...)
	command.Env = []string{standin.SettingsVariable + "=" + p.setting, "PATH=" + os.Getenv("PATH"), "HOME=" + p.bed.dir}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		err := command.Wait()
		p.bed.note("%s ended: %v", p.name, err)
		close(done)
	}()
	p.bed.note("%s started as process %d", p.name, command.Process.Pid)
	return nil
}

// running reports whether the process has been started and has not ended.
func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		p.bed.note("%s gets %v", p.name, s)
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) kill() {
	if p.running() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.done
	}
}

// ready reports whether an entry answers its readiness check with 200.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts processes and waits until the entries are ready.
func (b *bed) startAll(processes ...*process) error {
	for _, p := range processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range processes {
		if p.args[0] != "platform-entry" {
			continue
		}
		for end := time.Now().Add(startTimeout); !p.ready(); time.Sleep(pollInterval) {
			if time.Now().After(end) || !p.running() {
				return fmt.Errorf("%s is not ready", p.name)
			}
		}
	}
	return nil
}
