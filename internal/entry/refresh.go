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
	// instanceListInterval is the time between two looks at the instance list.
	instanceListInterval = 500 * time.Millisecond
	// refreshInterval is the time between two rounds of load refresh.
	refreshInterval = 250 * time.Millisecond
	// maxRefreshesPerRound bounds the loads that are asked for in one round.
	maxRefreshesPerRound = 2
)

// Run follows the instance list and refreshes stale loads until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	list := time.NewTicker(instanceListInterval)
	defer list.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	e.readInstances(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-list.C:
			e.readInstances(ctx)
		case <-refresh.C:
			e.refreshLoads(ctx, &asking)
		}
	}
}

// readInstances takes the current instance list. An outage keeps the last one.
func (e *Entry) readInstances(ctx context.Context) {
	list, err := e.options.Instances.List(ctx)
	if err != nil {
		e.options.Logger.Debug().Err(err).Msg("instance list is not available")
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

// refreshLoads asks for loads that no reply has carried lately, without
// waiting for them.
func (e *Entry) refreshLoads(ctx context.Context, asking *sync.WaitGroup) {
	for _, target := range e.table.Stale(maxRefreshesPerRound, time.Now()) {
		asking.Go(func() { e.refreshLoad(ctx, target) })
	}
}

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
