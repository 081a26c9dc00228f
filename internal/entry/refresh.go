package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// instanceListInterval is the interval between reads of the instance list.
	instanceListInterval = 500 * time.Millisecond
	// refreshInterval is the interval between rounds of load refresh.
	refreshInterval = 250 * time.Millisecond
	// maxRefreshesPerRound bounds the load requests sent in one round.
	maxRefreshesPerRound = 2
)

// Run reads the instance list and refreshes stale load reports periodically until ctx ends. It
// returns nil.
func (e *Entry) Run(ctx context.Context) error {
	list := time.NewTicker(instanceListInterval)
	defer list.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	var refreshes sync.WaitGroup
	defer refreshes.Wait()
	e.readInstances(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-list.C:
			e.readInstances(ctx)
		case <-refresh.C:
			e.refreshLoads(ctx, &refreshes)
		}
	}
}

// readInstances applies the current instance list. If the list can't be read, the previous one
// stays in use.
func (e *Entry) readInstances(ctx context.Context) {
	list, err := e.options.Instances.List(ctx)
	if err != nil {
		e.options.Logger.Debug().Err(err).Msg("failed to read the instance list")
		return
	}
	e.table.SetInstances(list)
	e.reservations.cancelUnusable(e.table.Usable)
	listed, entries := map[string]bool{}, 0
	for _, instance := range list {
		switch {
		case instance.Role == platform.RoleSidecar:
			listed[instance.Address] = true
		case instance.Role == platform.RoleEntry && instance.State == platform.InstanceLive:
			entries++
		}
	}
	e.lanes.retain(listed)
	e.limits.SetEntries(entries)
	e.ready.Store(true)
}

// refreshLoads requests, in the background, the loads that no recent reply has carried.
func (e *Entry) refreshLoads(ctx context.Context, refreshes *sync.WaitGroup) {
	for _, target := range e.table.TakeStale(maxRefreshesPerRound, time.Now()) {
		refreshes.Go(func() { e.refreshLoad(ctx, target) })
	}
}

// refreshLoad requests the load of one backend server and records a failure if the request fails.
func (e *Entry) refreshLoad(ctx context.Context, target routing.Target) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request := &lanepb.LoadRequest{BackendServers: []string{target.BackendServer}}
	e.metrics.refreshes.Add(ctx, 1)
	response, err := e.lanes.lane(target.Address).Loads(ctx, request)
	if err != nil {
		e.table.Fail(target.BackendServer, time.Now())
		return
	}
	for _, load := range response.GetLoads() {
		e.observe(load)
	}
}
