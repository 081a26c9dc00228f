package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// Bounds of the small deployments (sites/covek-halo.toml).
const (
	drainMS     = 2000
	contactMS   = 3000
	graceS      = 8
	heartbeatMS = 1200
)

const (
	readyTimeout = 15 * time.Second
	storePort    = 8225
	healthPath   = "/healthz"
	// firstHost is the last byte of the address of the first machine of a site.
	firstHost = 10
)

// site is a small deployment on loopback: the processes under test, the platform's store and the
// operator.
type site struct {
	dir    string
	prefix string
	store  *standin.Store
	record *recorder

	mu        sync.Mutex
	processes []*process
	nextHost  int
	version   int
}

// process is one process of the project.
type process struct {
	name, ip string
	front    string
	command  *exec.Cmd
	done     chan struct{}
}

// newSite starts the store at a free loopback network.
func newSite(record *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "lagoonlane-review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: standin.NewStore(), record: record, nextHost: firstHost}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", s.storeAddress())
		if err != nil {
			continue
		}
		server := &http.Server{Handler: s.store}
		go func() { _ = server.Serve(listener) }()
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (s *site) storeAddress() string { return fmt.Sprintf("%s1:%d", s.prefix, storePort) }

// address returns the IP address of a new machine.
func (s *site) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextHost++
	return fmt.Sprintf("%s%d", s.prefix, s.nextHost)
}

// settings returns the settings file of a machine, with the values of a small deployment.
func (s *site) settings(name, ip, class, listen, app string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nmachine_class = %q\nserves = [%q]\nip = %q\nzone = \"z\"\nregion = \"r\"\ninternal_ports = [7600, 7615]\nheartbeat_ms = %d\nbootstrap = true\n", name, class, class, ip, heartbeatMS)
	if app != "" {
		fmt.Fprintf(&b, "app = %q\n", app)
	}
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"rollout\",\"platform\"]\n")
	fmt.Fprintf(&b, "[zones]\nz = \"r\"\n[listen]\n%s[limits]\ncpu_share = 0.304\ncores = 1\nmemory_mb = 134\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n", listen)
	fmt.Fprintf(&b, "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = %d\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = %d\ngrace_s = %d\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrevert_slack_ms = 250\nstretch_max_ms = 5000\nrevoke_strict = true\nrevoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\nquota_window_s = 8\nquota_overshoot = 0.1\nquota_slack = 110000\nexposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\nrecover_s = 12\npass_ms = 120\n", contactMS, drainMS, graceS)
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nkeep_s = 300\n", s.storeAddress())
	return b.String()
}

// startEntry starts an entry and waits until it is ready.
func (s *site) startEntry(name string) (*process, error) {
	ip := s.address()
	p := &process{name: name, ip: ip, front: ip + ":8221"}
	listen := fmt.Sprintf("front = %q\nready = %q\n", p.front, ip+":8224")
	if err := s.launch(p, "platform-entry", s.settings(name, ip, "edge", listen, "")); err != nil {
		return nil, err
	}
	return p, waitReady("http://" + ip + ":8224" + platform.ReadyPath)
}

// startSidecar starts the sidecar of an engine, on the engine's address.
func (s *site) startSidecar(name string, engine *engine) (*process, error) {
	ip, _, _ := strings.Cut(engine.address, ":")
	p := &process{name: name, ip: ip}
	if err := s.launch(p, "platform-sidecar", s.settings(name, ip, "side", "", engine.address)); err != nil {
		return nil, err
	}
	return p, waitReady("http://" + ip + ":9464/metrics")
}

// launch starts a role with the command of the deploy file.
func (s *site) launch(p *process, role, settings string) error {
	path := filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(s.dir, p.name+".log"))
	if err != nil {
		return err
	}
	defer logs.Close()
	p.command = exec.Command("target/lagoonlane", role, "--metrics-port", "9464")
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsVariable + "=" + path}
	p.command.Stdout, p.command.Stderr = logs, logs
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		// Only the end matters, not the exit code.
		_ = p.command.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return nil
}

// close ends all processes that the site started.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept:", s.dir)
	}
}

func waitReady(url string) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("not ready within %v: %s", readyTimeout, url)
}

// route is a route of the manifest.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"route_kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	ObjectiveMS int    `json:"objective_ms"`
	GapTargetMS int    `json:"gap_target_ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	Attempts    int    `json:"attempts"`
	Sticky      bool   `json:"sticky,omitempty"`
}

// service is a service of the manifest; Slots is 0 for a plain one.
type service struct {
	Name  string
	Slots int
}

const (
	host       = "ficu95.example"
	apiKey     = "i9n73hh2b9wu3fexd9dn"
	tenantName = "hule930"
)

// putManifest writes the next manifest as the operator does. The time returned is that of the ack.
func (s *site) putManifest(routes []route, services []service) time.Time {
	list := []map[string]any{}
	for _, one := range services {
		wire := map[string]any{"name": one.Name, "max_conns": 370, "health_path": healthPath}
		if one.Slots > 0 {
			wire["engine"] = map[string]any{"slots": one.Slots, "kv_capacity": 259819}
		}
		list = append(list, wire)
	}
	s.version += 3
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": list,
		"tenants": []map[string]any{{"name": tenantName, "api_keys": []string{apiKey}, "unit": "token_count", "plain_tokens": 200}},
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(platform.TopicOperator, platform.KeyManifest, value)
	return time.Now()
}
