package main

import (
	"crypto/rand"
	"net/http"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/membership"
	"github.com/lagoonlane/lagoonlane/internal/peer"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/settings"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// sharedState holds what an entry and a sidecar need to work with other processes: the
// configuration stream, the instance list and the exchange with peers.
type sharedState struct {
	holder     *config.Holder
	log        platform.Log
	poller     *membership.Poller
	stream     *logstream.Client
	node       *peer.Node
	collector  *health.Collector
	peerClient *http.Client
}

// newSharedState returns the shared state of a process. prompts is nil for one that sends no requests to engines.
func newSharedState(p *process, platformURLs settings.Platform, prompts *poison.Tracker) *sharedState {
	client := newPlatformClient()
	s := &sharedState{
		holder:     &config.Holder{},
		log:        platform.NewHTTPLog(platformURLs.Log, client),
		poller:     membership.New(platform.NewHTTPInstances(platformURLs.Instances, client), p.logger),
		collector:  health.NewCollector(health.CollectorOptions{}),
		peerClient: transport.NewClient(p.settings.PeerKey.Reveal(), nil),
	}
	s.stream = logstream.New(logstream.Options{
		Log:    s.log,
		Author: p.settings.ID,
		Holder: s.holder,
		Logger: p.logger,
		Meter:  p.metrics.Meter,
		Peers:  func() []logstream.Puller { return s.node.Pullers() },
	})
	s.node = peer.New(peer.Options{
		ID:                 p.settings.ID,
		Address:            p.settings.Internal,
		BootID:             rand.Text(),
		Client:             s.peerClient,
		PeerURL:            peerURL,
		Peers:              func() []string { return s.poller.AddressesExcept(p.settings.Internal) },
		AggregationMembers: func() []string { return s.poller.AddressesByRole(platform.RoleEntry) },
		Records:            s.stream,
		Config:             s.holder,
		Collector:          s.collector,
		Poison:             prompts,
		Logger:             p.logger,
		Meter:              p.metrics.Meter,
	})
	return s
}

// background returns the background work of the shared state.
func (s *sharedState) background() []runFunc {
	return []runFunc{s.poller.Run, s.stream.Run, s.node.Run}
}

// close closes the idle connections to other processes.
func (s *sharedState) close() { s.peerClient.CloseIdleConnections() }
