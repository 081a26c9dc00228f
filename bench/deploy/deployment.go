package deploy

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Process names of the platform's stand-ins.
const (
	NameLog       = "log"
	NameInstances = "instances"
	NameWeights   = "weights"
)

// OperatorName is the name of the operator in the generated settings.
const OperatorName = "ilona"

const stopTimeout = 15 * time.Second

// Deployment holds the processes of a running deployment.
type Deployment struct {
	Spec Spec
	// OperatorKey is the key of OperatorName.
	OperatorKey string

	// AccountKeys holds the keys of the client accounts by account name.
	AccountKeys map[string]string

	peerKey   string
	processes []*Process
	// mu guards byName and processes, because StartReplacement adds a process while others read
	// them.
	mu        sync.Mutex
	byName    map[string]*Process
	instances []platform.Instance
}

// Start starts all processes of a deployment: first the stand-ins, then entries and sidecars. When
// it returns, every process passes its health check, but entries and sidecars become ready only
// after they receive a configuration. On failure it stops the processes that it has started.
func Start(ctx context.Context, spec Spec) (*Deployment, error) {
	spec.setDefaults()
	d := &Deployment{
		Spec: spec, OperatorKey: newSecret(), AccountKeys: map[string]string{},
		peerKey: newSecret(), byName: map[string]*Process{},
	}
	for _, account := range spec.Accounts {
		d.AccountKeys[account] = newSecret()
	}
	if err := d.startAll(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll(ctx context.Context) error {
	steps := []func() ([]*Process, error){d.platformProcesses, d.backendProcesses, d.lagoonlaneProcesses}
	for _, step := range steps {
		processes, err := step()
		if err != nil {
			return err
		}
		group, groupCtx := errgroup.WithContext(ctx)
		for _, p := range processes {
			group.Go(func() error { return p.start(groupCtx) })
		}
		if err := group.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// register sets the program and log of a process and adds the process to the deployment.
func (d *Deployment) register(p *Process, program string, args ...string) *Process {
	p.program = filepath.Join(d.Spec.BinDir, program)
	p.args = args
	p.logPath = logPath(d.Spec.Dir, p.Name)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	d.byName[p.Name] = p
	return p
}

// standin adds a stand-in. Health is the path of its health check.
func (d *Deployment) standin(name, kind, health string, args ...string) (*Process, error) {
	address, err := ports.pickAddress()
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, Address: address, healthURL: "http://" + address + health}
	return d.register(p, "standin", append([]string{kind, "-listen", address}, args...)...), nil
}

func (d *Deployment) platformProcesses() ([]*Process, error) {
	if err := d.planInstances(); err != nil {
		return nil, err
	}
	listFile := filepath.Join(d.Spec.Dir, "instances.json")
	if err := writeJSON(listFile, d.instances); err != nil {
		return nil, err
	}
	artifacts := []platform.Artifact{}
	for name, size := range d.Spec.Artifacts {
		artifacts = append(artifacts, platform.Artifact{Name: name, SizeBytes: size})
	}
	artifactFile := filepath.Join(d.Spec.Dir, "artifacts.json")
	if err := writeJSON(artifactFile, artifacts); err != nil {
		return nil, err
	}
	log, err := d.standin(NameLog, "log", "/stats", "-retention", strconv.Itoa(d.Spec.LogRetention))
	if err != nil {
		return nil, err
	}
	list, err := d.standin(NameInstances, "instances", "/v1/instances",
		"-file", listFile, "-lag", d.Spec.InstanceLag.String())
	if err != nil {
		return nil, err
	}
	weights, err := d.standin(NameWeights, "weights", "/v1/budget", "-file", artifactFile,
		"-bytes-per-second", strconv.FormatUint(d.Spec.WeightBytesPerSecond, 10))
	if err != nil {
		return nil, err
	}
	return []*Process{log, list, weights}, nil
}

// planInstances fills the instance list with the entries and one sidecar for each backend server.
func (d *Deployment) planInstances() error {
	for i := range d.Spec.Entries {
		if err := d.planInstance(entryName(i+1), platform.RoleEntry, i, nil); err != nil {
			return err
		}
	}
	for i, engine := range d.Spec.Engines {
		id := fmt.Sprintf("engine-%d", i+1)
		server := platform.BackendServer{ID: id, Kind: "engine", Pool: d.Spec.EnginePool, Generation: engine.Generation}
		if err := d.planInstance(sidecarName(id), platform.RoleSidecar, i, &server); err != nil {
			return err
		}
	}
	for i := range d.Spec.Services {
		id := fmt.Sprintf("%s-%d", d.Spec.ServiceName, i+1)
		server := platform.BackendServer{ID: id, Kind: "service", Pool: d.Spec.ServiceName, Version: defaultVersion}
		if err := d.planInstance(sidecarName(id), platform.RoleSidecar, i, &server); err != nil {
			return err
		}
	}
	return nil
}

func entryName(number int) string { return fmt.Sprintf("entry-%d", number) }

func sidecarName(backendServer string) string { return "sidecar-" + backendServer }

func (d *Deployment) planInstance(id string, role platform.Role, index int, server *platform.BackendServer) error {
	address, err := ports.pickAddress()
	if err != nil {
		return err
	}
	instance := platform.Instance{
		ID: id, Role: role, Address: address, State: platform.InstanceLive,
		DataCentre: fmt.Sprintf("%s-%d", d.Spec.Name, index%d.Spec.DataCentres+1),
	}
	if server != nil {
		instance.BackendServers = []platform.BackendServer{*server}
	}
	d.instances = append(d.instances, instance)
	return nil
}

func (d *Deployment) backendProcesses() ([]*Process, error) {
	var processes []*Process
	for i, spec := range d.Spec.Engines {
		id := fmt.Sprintf("engine-%d", i+1)
		p, err := d.standin(id, "engine", "/v1/load", "-id", id,
			"-speed", strconv.FormatFloat(spec.Speed, 'g', -1, 64),
			"-versions", strings.Join(d.Spec.EngineVersions, ","),
			"-weights", d.URL(NameWeights), "-check-fencing="+strconv.FormatBool(d.Spec.CheckFencing))
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
	}
	for i := range d.Spec.Services {
		p, err := d.standin(fmt.Sprintf("%s-%d", d.Spec.ServiceName, i+1), "service", "/v1/load",
			"-name", d.Spec.ServiceName, "-version", defaultVersion, "-latency", d.Spec.ServiceLatency.String())
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
	}
	return processes, nil
}

// lagoonlaneProcesses adds the entries and sidecars.
func (d *Deployment) lagoonlaneProcesses() ([]*Process, error) {
	var processes []*Process
	for _, instance := range d.instances {
		p, err := d.lagoonlaneProcess(instance)
		if err != nil {
			return nil, err
		}
		processes = append(processes, p)
	}
	return processes, nil
}

func (d *Deployment) lagoonlaneProcess(instance platform.Instance) (*Process, error) {
	values := settingsValues{
		ID: instance.ID, DataCentre: instance.DataCentre, Internal: instance.Address,
		PeerKey: d.peerKey, LogLevel: d.Spec.LogLevel,
		Log: d.URL(NameLog), Instances: d.URL(NameInstances),
	}
	if instance.Role == platform.RoleEntry {
		public, err := ports.pickAddress()
		if err != nil {
			return nil, err
		}
		values.Public, values.Weights = public, d.URL(NameWeights)
		values.Operator, values.OperatorSHA256 = OperatorName, sha256Hex(d.OperatorKey)
	}
	for _, server := range instance.BackendServers {
		backend := backendValues{
			ID: server.ID, Kind: server.Kind, Pool: server.Pool, Version: server.Version, Address: d.URL(server.ID),
		}
		if server.Kind == "engine" {
			backend.MaxConcurrency = d.Spec.MaxConcurrency
		}
		values.BackendServers = append(values.BackendServers, backend)
	}
	path, err := writeSettings(d.Spec.Dir, values)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name: instance.ID, Address: instance.Address, Public: values.Public,
		healthURL: "http://" + instance.Address + "/healthz",
	}
	return d.register(p, "lagoonlane", string(instance.Role), "--config", path), nil
}
