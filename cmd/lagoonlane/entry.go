package main

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/entry"
	"github.com/lagoonlane/lagoonlane/internal/move"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/poison/keeper"
	"github.com/lagoonlane/lagoonlane/internal/query"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

func checkEntry(path string) error {
	_, err := settings.LoadEntry(path)
	return err
}

// runEntry runs an entry until ctx is done, then drains it.
func runEntry(ctx context.Context, signals *signalHandler, path string, logs io.Writer) error {
	file, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	p, err := newProcess("entry", file.Process, logs)
	if err != nil {
		return err
	}
	signals.attach(p.logger, func() error { return checkEntry(path) })
	var evidence *keeper.Keeper
	prompts := poison.New(poison.Options{Now: time.Now, OnChange: func(own bool) { evidence.Request(own) }, Places: 1, Logger: p.logger})
	shared := newSharedState(p, file.Platform, prompts)
	defer shared.close()
	claims := claim.New(claim.Options{
		Log:    shared.log,
		Author: file.Process.ID,
		Logger: p.logger,
		Meter:  p.metrics.Meter,
	})
	entryRole, err := entry.New(entry.Options{
		ID:          file.Process.ID,
		DataCentre:  file.Process.DataCentre,
		Config:      shared.holder,
		Instances:   shared.poller,
		Client:      shared.peerClient,
		PeerURL:     peerURL,
		Claims:      claims,
		Evidence:    shared.collector,
		Containment: shared.node,
		Floors:      shared.node,
		AccountUse:  shared.node,
		Poison:      prompts,
		Logger:      p.logger,
		// A body may take half of what is free, so this leaves room for the largest one that a route usually allows.
		MaxBufferedBytes: ownBufferedBytesShare * defaultMemoryBytes,
		Meter:            p.metrics.Meter,
	})
	if err != nil {
		return err
	}
	evidence, err = keeper.New(keeper.Options{
		Name: "sidecars", Tracker: prompts, Live: true,
		Log: &keeper.Peers{
			Client: shared.peerClient, URL: peerURL, Addresses: func() []string { return shared.poller.AddressesByRole(platform.RoleSidecar) },
		},
		Ready: shared.poller.Ready,
		Rank: func() int {
			entries := shared.poller.AddressesByRole(platform.RoleEntry)
			slices.Sort(entries)
			return max(0, slices.Index(entries, file.Process.Internal))
		},
		CanServe: func() bool { return shared.stream.Ready() && entryRole.Ready() },
		Patience: keeper.DefaultPatience, Logger: p.logger, Meter: p.metrics.Meter,
	})
	if err != nil {
		return err
	}
	weights := platform.NewHTTPWeights(file.Platform.Weights, newPlatformClient())
	planner := move.NewPlanner(move.PlannerOptions{
		Config:    shared.holder,
		Instances: shared.poller,
		Weights:   weights,
		Evidence:  shared.node,
	})
	driver := move.NewDriver(move.DriverOptions{
		ID:        file.Process.ID,
		Config:    shared.holder,
		Log:       shared.stream,
		Instances: shared.poller,
		Client:    shared.peerClient,
		PeerURL:   peerURL,
		Evidence:  shared.node,
		Peer:      shared.node,
		Logger:    p.logger,
		Meter:     p.metrics.Meter,
	})
	shared.node.Register(p.internal)
	public := http.NewServeMux()
	entryRole.Register(public)
	registerAdmin(public, shared, planner, file.Operators)
	return p.serve(ctx, roleHooks{
		ready:      func() bool { return shared.stream.Ready() && entryRole.Ready() && prompts.Known() },
		background: append(shared.background(), claims.Run, evidence.Run, entryRole.Run, driver.Run),
		drain:      entryRole.Drain,
		public:     public,
	})
}

// registerAdmin adds the operator API: commands and queries.
func registerAdmin(mux *http.ServeMux, shared *sharedState, planner command.Planner, operators []settings.Operator) {
	command.Register(mux, command.Options{
		Log:       shared.stream,
		Config:    shared.holder,
		Planner:   planner,
		Operators: operators,
	})
	query.Register(mux, query.Options{
		Config:    shared.holder,
		Log:       shared.stream,
		Operators: operators,
	})
}
