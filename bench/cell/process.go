package cell

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/entry"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/membership"
	"github.com/lagoonlane/lagoonlane/internal/peer"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/sidecar"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

const peerKey = "key of the cell's processes"

// process is an entry or a sidecar of a cell, assembled in the same way as in
// cmd/lagoonlane.
type process struct {
	id             string
	address        string
	cell           *Cell
	holder         *config.Holder
	log            platform.Log
	poller         *membership.Poller
	stream         *logstream.Client
	node           *peer.Node
	collector      *health.Collector
	peerClient     *http.Client
	platformClient *http.Client
	logger         zerolog.Logger

	stop  context.CancelFunc
	tasks sync.WaitGroup
}

// newProcess assembles the components that entries and sidecars have in common.
func (s *System) newProcess(id, address string) *process {
	p := &process{
		id: id, address: address, cell: s.cell, holder: &config.Holder{}, logger: s.logger.With().Str("process", id).Logger(),
		collector:  health.NewCollector(health.CollectorOptions{}),
		peerClient: transport.NewClient(peerKey, s.cell.Network.Dial), platformClient: s.cell.Client(),
	}
	p.log = platform.NewHTTPLog("http://"+logAddress, p.platformClient)
	p.poller = membership.New(platform.NewHTTPInstances("http://"+instanceListAddress, p.platformClient), p.logger)
	p.stream = logstream.New(logstream.Options{
		Log: p.log, Author: id, Holder: p.holder, Logger: p.logger,
		Peers: func() []logstream.Puller { return p.node.Pullers() },
	})
	p.node = peer.New(peer.Options{
		ID: id, Address: address, BootID: rand.Text(), Client: p.peerClient,
		PeerURL: peerURL, Peers: func() []string { return p.poller.AddressesExcept(address) },
		Records: p.stream, Config: p.holder, Collector: p.collector, Logger: p.logger,
	})
	return p
}

func peerURL(address string) string { return "http://" + address }

// start serves mux to the other processes and starts the background tasks.
func (p *process) start(mux *http.ServeMux, background ...func(context.Context) error) error {
	p.node.Register(mux)
	server := transport.NewInternalServer(transport.RequireKey(peerKey, mux))
	if err := p.cell.serve(p.address, server); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	for _, run := range append(background, p.poller.Run, p.stream.Run, p.node.Run) {
		// A background task that fails early is detected by the results of the run.
		p.tasks.Go(func() { _ = run(ctx) })
	}
	return nil
}

// close stops the background tasks and waits for them.
func (p *process) close() {
	p.stop()
	p.tasks.Wait()
	p.peerClient.CloseIdleConnections()
	p.platformClient.CloseIdleConnections()
}

func (s *System) startSidecar(id, address string, server sidecar.BackendServer) error {
	p := s.newProcess(id, address)
	sidecarRole, err := sidecar.New(sidecar.Options{
		ID: id, BackendServers: []sidecar.BackendServer{server},
		Config: p.holder, Containment: p.node, Logger: p.logger,
	})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	sidecarRole.Register(mux)
	s.processes = append(s.processes, p)
	return p.start(mux, sidecarRole.Run)
}

func (s *System) startEntry(id, internalAddress, publicAddress string, seed uint64) error {
	p := s.newProcess(id, internalAddress)
	claims := claim.New(claim.Options{Log: p.log, Author: id, Logger: p.logger})
	entryRole, err := entry.New(entry.Options{
		ID: id, DataCentre: "dc-1", Config: p.holder, Instances: p.poller, Client: p.peerClient,
		PeerURL: peerURL, Claims: claims, Containment: p.node, Floors: p.node, AccountUse: p.node,
		Logger: p.logger, Seed: seed,
	})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	entryRole.Register(mux)
	if err := s.cell.serve(publicAddress, transport.NewPublicServer(mux)); err != nil {
		return err
	}
	s.processes = append(s.processes, p)
	s.entries = append(s.entries, entryRole)
	return p.start(http.NewServeMux(), claims.Run, entryRole.Run)
}
