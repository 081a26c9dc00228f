package move

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// orderTimeout bounds one call to a sidecar.
const orderTimeout = 2 * time.Second

// orderSender sends load and unload orders to engines through their sidecars.
type orderSender struct {
	instances platform.Instances
	client    *http.Client
	peerURL   func(address string) string

	mu sync.Mutex
	// failures counts the failed orders, by order name.
	failures map[string]int
	// noResponseSince is the time of the first of the latest consecutive calls without a
	// response, by order name.
	noResponseSince map[string]time.Time
}

// orderResult is the outcome of one order.
type orderResult int

const (
	orderPending orderResult = iota
	orderDone
	// orderUnreachable means that the sidecar has not responded for unreachableTimeout.
	orderUnreachable
)

// unreachableTimeout is the time without a response after which a move proceeds without a
// sidecar. When that sidecar returns, it rejects requests for a version that it hasn't loaded, so
// they can be sent to another backend server and none is lost.
const unreachableTimeout = 5 * time.Second

func newOrderSender(instances platform.Instances, client *http.Client, peerURL func(string) string) *orderSender {
	return &orderSender{instances: instances, client: client, peerURL: peerURL, failures: map[string]int{}, noResponseSince: map[string]time.Time{}}
}

// executeOrders sends the orders of the step in progress. It returns the action that appends the
// next progress once sendAll reports completion or pending orders are ignored, and an empty
// action before that.
func (d *Driver) executeOrders(ctx context.Context, state *configpb.State, move *configpb.Move, lease *logstream.Lease, next action) action {
	kind := lanepb.OrderKind_ORDER_KIND_LOAD_VERSION
	if next.kind == actionUnload {
		kind = lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION
	}
	targets, err := d.orders.targets(ctx, move, next.kind)
	if err != nil {
		return action{}
	}
	if next.kind == actionUnload && usedByOtherRoute(state, move.GetPool(), next.version, move.GetRoutes()) {
		targets = nil
	}
	template := &lanepb.OrderRequest{
		Lease: config.MoveLeaseName(move.GetId()), Fencing: lease.Fencing(), Kind: kind, Version: next.version,
		Artifact: state.GetVersions()[config.VersionKey(move.GetPool(), next.version)].GetArtifact(),
	}
	complete := d.orders.sendAll(ctx, lease, targets, template, move)
	if !complete && !next.ignorePendingOrders {
		return action{}
	}
	if !complete && next.progress.GetReason() == "" && next.progress.GetState() == done {
		next.progress.Reason = "not every engine has unloaded " + next.version
	}
	return action{kind: actionAppend, progress: next.progress}
}

// target is a backend server and the address of its sidecar.
type target struct{ server, address string }

// targets returns the live engines that the step in progress applies to. Engines that registered
// after the plan was made belong to the last load step.
func (o *orderSender) targets(ctx context.Context, move *configpb.Move, kind actionKind) ([]target, error) {
	list, err := o.instances.List(ctx)
	if err != nil {
		return nil, err
	}
	var found []target
	for _, instance := range list {
		for _, server := range instance.BackendServers {
			if instance.State == platform.InstanceLive && server.Kind == kindEngine && server.Pool == move.GetPool() &&
				isOrderTarget(move, kind, server.ID) {
				found = append(found, target{server.ID, instance.Address})
			}
		}
	}
	return found, nil
}

// isOrderTarget reports whether the step in progress applies to a backend server.
func isOrderTarget(move *configpb.Move, kind actionKind, server string) bool {
	if kind == actionUnload {
		return true
	}
	steps, current := move.GetSteps(), int(move.GetStep())
	if slices.Contains(steps[current].GetBackendServers(), server) {
		return true
	}
	last := current+1 >= len(steps) || steps[current+1].GetKind() != configpb.StepKind_STEP_KIND_LOAD
	return last && !slices.ContainsFunc(steps[:current], func(step *configpb.MoveStep) bool {
		return slices.Contains(step.GetBackendServers(), server)
	})
}

// sendAll sends an order to all targets concurrently. It reports whether no order is pending and
// at least as many are done as targets are unreachable.
func (o *orderSender) sendAll(ctx context.Context, lease *logstream.Lease, targets []target, template *lanepb.OrderRequest, move *configpb.Move) bool {
	results := make([]orderResult, len(targets))
	var calls sync.WaitGroup
	for i, t := range targets {
		calls.Go(func() {
			name := fmt.Sprintf("%s/%s/%s/%s", move.GetId(), template.GetKind(), template.GetVersion(), t.server)
			results[i] = o.send(ctx, lease, t, name, template)
		})
	}
	calls.Wait()
	counts := map[orderResult]int{}
	for _, r := range results {
		counts[r]++
	}
	return counts[orderPending] == 0 && counts[orderDone] >= counts[orderUnreachable]
}

// send sends one order if the lease is valid at this time. After a failed order the next tick
// sends a new order with another id.
func (o *orderSender) send(ctx context.Context, lease *logstream.Lease, t target, name string, template *lanepb.OrderRequest) orderResult {
	request := &lanepb.OrderRequest{
		BackendServer: t.server, Lease: template.GetLease(), Fencing: template.GetFencing(), Kind: template.GetKind(),
		Version: template.GetVersion(), Artifact: template.GetArtifact(), OrderId: o.orderID(name),
	}
	if !lease.Valid() {
		return orderPending
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	response, err := lanepb.NewLaneProtobufClient(o.peerURL(t.address), o.client).Order(callCtx, request)
	if err != nil {
		return o.recordNoResponse(name)
	}
	return o.recordResponse(name, response.GetResult())
}

// recordNoResponse notes a call without a response and returns the state of the order.
func (o *orderSender) recordNoResponse(name string) orderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.noResponseSince[name].IsZero() {
		o.noResponseSince[name] = time.Now()
	}
	if time.Since(o.noResponseSince[name]) < unreachableTimeout {
		return orderPending
	}
	return orderUnreachable
}

// recordResponse notes the response of a sidecar and returns the state of the order.
func (o *orderSender) recordResponse(name string, response lanepb.OrderResponse_Result) orderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.noResponseSince, name)
	switch response {
	case lanepb.OrderResponse_RESULT_DONE:
		return orderDone
	case lanepb.OrderResponse_RESULT_FAILED:
		o.failures[name]++
	}
	return orderPending
}

// orderID returns the id of an order, which changes with each failure.
func (o *orderSender) orderID(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("%s/%d", name, o.failures[name])
}
