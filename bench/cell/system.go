package cell

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/standin/instancelist"
	"github.com/lagoonlane/lagoonlane/bench/standin/logserver"
	"github.com/lagoonlane/lagoonlane/bench/standin/service"
	"github.com/lagoonlane/lagoonlane/internal/entry"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
)

// Addresses and names in a cell.
const (
	logAddress          = "10.0.0.1:7000"
	instanceListAddress = "10.0.0.2:7000"

	// ModelRoute and EnginePool are the route and the pool of the engines.
	ModelRoute = "assistant"
	EnginePool = "model"
	// ServiceName is the name of both the route and the pool of the plain services.
	ServiceName = "ledger"

	startupTime      = 5 * time.Second
	instanceLag      = time.Second
	serviceLatency   = 2 * time.Millisecond
	appendsPerSecond = 300
)

// SystemOptions configure the entries, sidecars and plain services of a system.
type SystemOptions struct {
	Entries  int
	Services int
	Mix      Mix
	Seed     uint64
	// MaxConcurrency bounds the concurrent calls from each sidecar to its engine; 0 means
	// the sidecar's default.
	MaxConcurrency int
	// Log receives the log lines of entries and sidecars. If it is nil, logging is off.
	Log io.Writer
}

// System is a complete lagoonlane deployment in front of the engines of a cell:
// entries, sidecars, plain services and the platform's stand-ins.
type System struct {
	cell         *Cell
	options      SystemOptions
	logger       zerolog.Logger
	LogServer    *logserver.Server
	InstanceList *instancelist.Server
	Services     []*service.Server

	instances       []platform.Instance
	processes       []*process
	entries         []*entry.Entry
	publicAddresses []string
	client          *http.Client
	nextEntry       atomic.Uint64
}

// StartSystem starts the platform's stand-ins, publishes a configuration, starts a
// sidecar for each backend server and the entries, and waits for startupTime. It
// returns a NotReadyError if an entry isn't ready then.
func StartSystem(c *Cell, options SystemOptions) (*System, error) {
	s := &System{
		cell: c, options: options, client: c.Client(), logger: zerolog.Nop(),
		LogServer: logserver.New(logserver.Options{AppendsPerSecond: appendsPerSecond}),
	}
	if options.Log != nil {
		s.logger = zerolog.New(options.Log)
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	if err := s.cell.serve(logAddress, &http.Server{Handler: s.LogServer}); err != nil {
		return err
	}
	if err := s.publishConfiguration(); err != nil {
		return err
	}
	s.buildInstanceList()
	s.InstanceList = instancelist.New(instanceLag, s.instances)
	if err := s.cell.serve(instanceListAddress, &http.Server{Handler: s.InstanceList}); err != nil {
		return err
	}
	if err := s.startSidecars(); err != nil {
		return err
	}
	for i := range s.options.Entries {
		publicAddress := fmt.Sprintf("10.0.4.%d:80", i+1)
		s.publicAddresses = append(s.publicAddresses, publicAddress)
		id := fmt.Sprintf("entry-%d", i+1)
		if err := s.startEntry(id, s.instanceAddress(id), publicAddress, s.options.Seed+uint64(i)+1); err != nil {
			return err
		}
	}
	return s.waitReady()
}

// buildInstanceList adds the sidecars and entries to s.instances.
func (s *System) buildInstanceList() {
	for i, node := range s.cell.Engines {
		s.addSidecarInstance(fmt.Sprintf("10.0.2.%d:7000", i+1), platform.BackendServer{
			ID: node.ID, Kind: sidecar.KindEngine, Pool: EnginePool, Generation: node.Generation,
		})
	}
	for i := range s.options.Services {
		s.addSidecarInstance(fmt.Sprintf("10.0.3.%d:7000", i+1), platform.BackendServer{
			ID: fmt.Sprintf("%s-%d", ServiceName, i+1), Kind: sidecar.KindService,
			Pool: ServiceName, Version: s.cell.Options.Version,
		})
	}
	for i := range s.options.Entries {
		s.instances = append(s.instances, platform.Instance{
			ID: fmt.Sprintf("entry-%d", i+1), Role: platform.RoleEntry, State: platform.InstanceLive,
			Address: fmt.Sprintf("10.0.4.%d:7000", i+1), DataCentre: "dc-1",
		})
	}
}

func (s *System) addSidecarInstance(address string, server platform.BackendServer) {
	s.instances = append(s.instances, platform.Instance{
		ID: "sidecar-" + server.ID, Role: platform.RoleSidecar, State: platform.InstanceLive,
		Address: address, DataCentre: "dc-1", BackendServers: []platform.BackendServer{server},
	})
}

func (s *System) instanceAddress(id string) string {
	for _, instance := range s.instances {
		if instance.ID == id {
			return instance.Address
		}
	}
	return ""
}

func (s *System) startSidecars() error {
	for _, node := range s.cell.Engines {
		id := "sidecar-" + node.ID
		backend := sidecar.BackendServer{
			ID: node.ID, Kind: sidecar.KindEngine, Pool: EnginePool, MaxConcurrency: s.options.MaxConcurrency,
			Backend: platform.NewHTTPEngine("http://"+node.Address, s.client),
		}
		if err := s.startSidecar(id, s.instanceAddress(id), backend); err != nil {
			return err
		}
	}
	for i := range s.options.Services {
		name := fmt.Sprintf("%s-%d", ServiceName, i+1)
		address := fmt.Sprintf("10.0.3.%d:%d", i+1, servicePort)
		handler := service.New(service.Options{Name: ServiceName, Version: s.cell.Options.Version, Latency: serviceLatency})
		s.Services = append(s.Services, handler)
		if err := s.cell.serve(address, &http.Server{Handler: handler}); err != nil {
			return err
		}
		backend := sidecar.BackendServer{
			ID: name, Kind: sidecar.KindService, Pool: ServiceName, Version: s.cell.Options.Version,
			Backend: platform.NewHTTPService("http://"+address, s.client),
		}
		if err := s.startSidecar("sidecar-"+name, s.instanceAddress("sidecar-"+name), backend); err != nil {
			return err
		}
	}
	return nil
}

// NotReadyError reports that an entry isn't ready after startupTime.
type NotReadyError struct{ Entry int }

func (e *NotReadyError) Error() string { return fmt.Sprintf("entry %d is not ready", e.Entry) }

func (s *System) waitReady() error {
	time.Sleep(startupTime)
	for i, entryRole := range s.entries {
		if !entryRole.Ready() {
			return &NotReadyError{Entry: i + 1}
		}
	}
	return nil
}

// Close stops the background tasks of all processes. Cell.Close closes their servers.
func (s *System) Close() {
	for _, p := range s.processes {
		p.close()
	}
	s.client.CloseIdleConnections()
}

// publishConfiguration appends the configuration commands to the log.
func (s *System) publishConfiguration() error {
	log := platform.NewHTTPLog("http://"+logAddress, s.client)
	for i, command := range s.configurationCommands() {
		command.OperationId, command.Operator = fmt.Sprintf("op-%d", i), "ilona"
		data, err := proto.Marshal(&configpb.Record{
			Author: "cell", AppendedUnixMs: time.Now().UnixMilli(),
			Body: &configpb.Record_Command{Command: command},
		})
		if err != nil {
			return err
		}
		if _, err := log.Append(context.Background(), platform.StreamConfig, data); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) configurationCommands() []*configpb.Command {
	var commands []*configpb.Command
	var tiers []string
	for rank, tier := range s.options.Mix.Tiers {
		tiers = append(tiers, tier.Name)
		commands = append(commands, &configpb.Command{Change: &configpb.Command_PutTier{PutTier: &configpb.Tier{
			Name: tier.Name, Rank: uint32(rank), DefaultTimeoutMs: 60_000,
		}}})
	}
	for i := range s.options.Mix.Accounts {
		hash := sha256.Sum256([]byte(accountKey(i)))
		commands = append(commands, &configpb.Command{Change: &configpb.Command_PutAccount{PutAccount: &configpb.ClientAccount{
			Name: fmt.Sprintf("account-%d", i), Tiers: tiers, Weight: 1,
			Keys: []*configpb.ApiKey{{Id: "k1", Sha256: hash[:]}},
		}}})
	}
	commands = append(commands, s.versionAndRoute(EnginePool, ModelRoute, configpb.BackendKind_BACKEND_KIND_ENGINE)...)
	if s.options.Services > 0 {
		commands = append(commands, s.versionAndRoute(ServiceName, ServiceName, configpb.BackendKind_BACKEND_KIND_SERVICE)...)
	}
	return commands
}

func (s *System) versionAndRoute(pool, name string, kind configpb.BackendKind) []*configpb.Command {
	version := s.cell.Options.Version
	return []*configpb.Command{
		{Change: &configpb.Command_PutVersion{PutVersion: &configpb.BackendVersion{
			Pool: pool, Name: version, State: configpb.VersionState_VERSION_STATE_PROVEN,
		}}},
		{Change: &configpb.Command_PutRoute{PutRoute: &configpb.Route{
			Name: name, Kind: kind, Pool: pool, MaxTimeoutMs: 600_000,
			Shares: []*configpb.VersionShare{{Version: version, ShareBp: 10_000}},
		}}},
	}
}

func accountKey(account int) string { return fmt.Sprintf("key-of-account-%d", account) }

// Send implements Router. It sends requests to the entries in turn.
func (s *System) Send(ctx context.Context, arrival Arrival) caller.Result {
	publicAddress := s.publicAddresses[int(s.nextEntry.Add(1))%len(s.publicAddresses)]
	client := caller.Client{HTTP: s.client, Key: accountKey(arrival.Account)}
	return client.Chat(ctx, caller.Chat{
		URL: "http://" + publicAddress, Model: ModelRoute, Tier: s.options.Mix.Tiers[arrival.Tier].Name,
		Prompt: arrival.Prompt(), MaxTokens: arrival.OutputTokens, Stream: true,
		Timeout: arrival.Deadline.Round(time.Millisecond), User: arrival.ID,
	})
}
