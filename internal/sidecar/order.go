package sidecar

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// orderTimeout bounds one Order call to an engine.
	orderTimeout = 10 * time.Second
	// maxCachedOrders is the number of completed orders whose results are cached per engine.
	maxCachedOrders = 1024
)

// fence rejects orders with a lower fencing number than the highest one seen. Orders pass
// one at a time, so that an older order can't overtake a newer one on its way to the
// engine. Holding semaphore grants access to the other fields.
type fence struct {
	// semaphore admits one order at a time: it holds a value while an order is processed.
	semaphore chan struct{}
	// highest is the highest fencing number seen in an order, the configuration or an
	// engine's response.
	highest uint64
	// results holds the results of completed orders by order id; resultIDs holds their ids,
	// the oldest first.
	results   map[string]*lanepb.OrderResponse
	resultIDs []string
}

func newFence() *fence {
	return &fence{semaphore: make(chan struct{}, 1), results: map[string]*lanepb.OrderResponse{}}
}

// cacheResult caches the result of a completed order and evicts the oldest one over the bound.
func (f *fence) cacheResult(orderID string, response *lanepb.OrderResponse) {
	if len(f.resultIDs) == maxCachedOrders {
		delete(f.results, f.resultIDs[0])
		f.resultIDs = f.resultIDs[1:]
	}
	f.results[orderID] = response
	f.resultIDs = append(f.resultIDs, orderID)
}

// Order forwards an order from the driver of a move to an engine. An order id that was sent
// before returns the progress or the result of that order. An order with a lower fencing
// number than the highest seen is rejected here, whether or not the engine checks it.
func (s *Sidecar) Order(ctx context.Context, request *lanepb.OrderRequest) (*lanepb.OrderResponse, error) {
	target := s.servers[request.GetBackendServer()]
	if target == nil || target.engine == nil {
		return nil, twirp.NotFoundError("no engine named " + request.GetBackendServer())
	}
	if err := checkOrder(request); err != nil {
		return nil, err
	}
	response, err := s.processOrder(ctx, target, request)
	if err == nil {
		s.metrics.countOrder(target.ID, response.GetResult())
	}
	return response, err
}

// processOrder waits for the orders before it, checks the fencing number and sends the order
// unless its result is cached.
func (s *Sidecar) processOrder(ctx context.Context, target *server, request *lanepb.OrderRequest) (*lanepb.OrderResponse, error) {
	f := target.fence
	select {
	case f.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller withdrew the order")
	}
	defer func() { <-f.semaphore }()
	if !s.checkFencing(f, request) {
		return &lanepb.OrderResponse{Result: lanepb.OrderResponse_RESULT_FENCED, HighestFencing: f.highest}, nil
	}
	if ended := f.results[request.GetOrderId()]; ended != nil {
		return ended, nil
	}
	return s.sendOrder(ctx, target, request)
}

// checkOrder returns a Twirp error if a field is missing or invalid.
func checkOrder(request *lanepb.OrderRequest) error {
	if request.GetOrderId() == "" {
		return twirp.RequiredArgumentError("order_id")
	}
	if request.GetVersion() == "" {
		return twirp.RequiredArgumentError("version")
	}
	if request.GetFencing() == 0 {
		return twirp.RequiredArgumentError("fencing")
	}
	if orderKind(request.GetKind()) == "" {
		return twirp.InvalidArgumentError("kind", "is not a kind of order")
	}
	return nil
}

// checkFencing compares the fencing number of an order with the highest one seen and with
// the lease in the configuration. The latter also protects a sidecar that has restarted
// and has seen no order yet. The caller holds f.semaphore.
func (s *Sidecar) checkFencing(f *fence, request *lanepb.OrderRequest) bool {
	lease := s.config.Current().GetLeases()[request.GetLease()]
	f.highest = max(f.highest, lease.GetFencing())
	if request.GetFencing() < f.highest {
		return false
	}
	f.highest = request.GetFencing()
	return true
}

// sendOrder sends an order to the engine. A version to be unloaded stops receiving requests
// before that. The caller holds the fence's semaphore.
func (s *Sidecar) sendOrder(ctx context.Context, target *server, request *lanepb.OrderRequest) (*lanepb.OrderResponse, error) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	if request.GetKind() == lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION {
		s.stopVersion(target, request.GetVersion())
	}
	status, err := target.engine.Order(ctx, platform.Order{
		ID:       request.GetOrderId(),
		Kind:     orderKind(request.GetKind()),
		Version:  request.GetVersion(),
		Artifact: request.GetArtifact(),
		Fencing:  request.GetFencing(),
	})
	var fenced *platform.FencedError
	if stderrors.As(err, &fenced) {
		target.fence.highest = max(target.fence.highest, fenced.Highest)
		target.versions.resume(request.GetVersion())
		return &lanepb.OrderResponse{Result: lanepb.OrderResponse_RESULT_FENCED, HighestFencing: target.fence.highest}, nil
	}
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "engine gave no answer to the order: "+err.Error())
	}
	return s.orderResponse(target, request, status), nil
}

// orderResponse converts an engine's order status into a response, updates the set of
// loaded versions and caches a final result.
func (s *Sidecar) orderResponse(target *server, request *lanepb.OrderRequest, status platform.OrderStatus) *lanepb.OrderResponse {
	response := &lanepb.OrderResponse{
		Result:         lanepb.OrderResponse_RESULT_IN_PROGRESS,
		HighestFencing: target.fence.highest,
		Detail:         status.Detail,
	}
	switch status.State {
	case platform.OrderDone:
		response.Result = lanepb.OrderResponse_RESULT_DONE
		s.applyCompletedOrder(target, request)
	case platform.OrderFailed:
		response.Result = lanepb.OrderResponse_RESULT_FAILED
		target.versions.resume(request.GetVersion())
	default:
		return response
	}
	target.fence.cacheResult(request.GetOrderId(), response)
	return response
}

// applyCompletedOrder updates the set of loaded versions after a successful order.
func (s *Sidecar) applyCompletedOrder(target *server, request *lanepb.OrderRequest) {
	switch request.GetKind() {
	case lanepb.OrderKind_ORDER_KIND_LOAD_VERSION:
		target.versions.add(request.GetVersion(), time.Now())
	case lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		target.versions.stop(request.GetVersion())
	}
}

// stopVersion refuses queued and new requests for a version.
func (s *Sidecar) stopVersion(target *server, version string) {
	target.versions.stop(version)
	target.queue.Refuse(admission.ReasonVersion, func(r admission.Request) bool { return r.Version == version })
}

// orderKind returns the platform's order kind, or "" for an unknown one.
func orderKind(kind lanepb.OrderKind) platform.OrderKind {
	switch kind {
	case lanepb.OrderKind_ORDER_KIND_LOAD_VERSION:
		return platform.OrderLoad
	case lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION:
		return platform.OrderUnload
	}
	return ""
}
