package sidecar

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// orderRequest returns an order to load "v2".
func orderRequest(id string, fencing uint64) *lanepb.OrderRequest {
	return &lanepb.OrderRequest{BackendServer: "e", Lease: "move/m", Fencing: fencing,
		Kind: lanepb.OrderKind_ORDER_KIND_LOAD_VERSION, Version: "v2", Artifact: "w2", OrderId: id}
}

// TestEngineNeverSeesAnOlderOrder sends delayed, concurrent orders, as drivers do after a
// pause or a network partition, to an engine that ignores fencing numbers. The fencing
// numbers that reach the engine must never decrease.
func TestEngineNeverSeesAnOlderOrder(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		inBubble(t, 1, func(t *testing.T, fx *fixture) {
			rng := rand.New(rand.NewPCG(seed, 1))
			fx.engine.order = func(order platform.Order) (platform.OrderStatus, error) {
				if order.Fencing%5 == 0 {
					return platform.OrderStatus{}, errors.WithStack(&platform.UnavailableError{Service: "engine"})
				}
				return platform.OrderStatus{State: platform.OrderDone}, nil
			}
			var mu sync.Mutex
			results := map[lanepb.OrderResponse_Result]int{}
			var drivers sync.WaitGroup
			for n := range 60 {
				delay := randomDuration(rng, 0, 5*time.Second)
				fencing := uint64(1 + n/6 + rng.IntN(4))
				if n%20 == 19 {
					fx.config.Set(&configpb.State{Offset: uint64(n), Leases: map[string]*configpb.Lease{"move/m": {Fencing: uint64(n / 6)}}})
				}
				drivers.Go(func() {
					time.Sleep(delay)
					response, err := fx.lane.Order(t.Context(), orderRequest(fmt.Sprint(n), fencing))
					if err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					results[response.GetResult()]++
				})
			}
			drivers.Wait()
			for i := 1; i < len(fx.engine.orders); i++ {
				qt.Assert(t, fx.engine.orders[i].Fencing >= fx.engine.orders[i-1].Fencing, qt.IsTrue)
			}
			qt.Assert(t, results[lanepb.OrderResponse_RESULT_FENCED] > 0, qt.IsTrue)
			qt.Assert(t, results[lanepb.OrderResponse_RESULT_DONE] > 0, qt.IsTrue)
		})
	}
}

// TestReplacedSidecarFencesByTheConfiguration checks that a sidecar that has seen no order
// since its start rejects orders below the fencing number of the configured lease.
func TestReplacedSidecarFencesByTheConfiguration(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.config.Set(&configpb.State{Offset: 40, Leases: map[string]*configpb.Lease{"move/m": {Fencing: 33}}})
		response, err := fx.lane.Order(t.Context(), orderRequest("o", 32))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FENCED)
		qt.Assert(t, response.GetHighestFencing(), qt.Equals, uint64(33))
		qt.Assert(t, len(fx.engine.orders), qt.Equals, 0)
	})
}

func TestOrderProgressIsPolledByID(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		began := time.Now()
		fx.engine.order = func(platform.Order) (platform.OrderStatus, error) {
			if time.Since(began) < 3*time.Second {
				return platform.OrderStatus{State: platform.OrderInProgress}, nil
			}
			return platform.OrderStatus{State: platform.OrderDone}, nil
		}
		for result := lanepb.OrderResponse_RESULT_IN_PROGRESS; result != lanepb.OrderResponse_RESULT_DONE; {
			response, err := fx.lane.Order(t.Context(), orderRequest("o", 1))
			qt.Assert(t, err, qt.IsNil)
			result = response.GetResult()
			time.Sleep(time.Second)
		}
		given := len(fx.engine.orders)
		_, err := fx.lane.Order(t.Context(), orderRequest("o", 1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(fx.engine.orders), qt.Equals, given)
	})
}

// TestFailedUnloadKeepsTheVersion checks that a version serves again after its unload failed.
func TestFailedUnloadKeepsTheVersion(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, fx *fixture) {
		fx.engine.order = func(platform.Order) (platform.OrderStatus, error) {
			return platform.OrderStatus{State: platform.OrderFailed, Detail: "busy"}, nil
		}
		order := orderRequest("o", 1)
		order.Kind, order.Version = lanepb.OrderKind_ORDER_KIND_UNLOAD_VERSION, "v1"
		response, err := fx.lane.Order(t.Context(), order)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.GetResult(), qt.Equals, lanepb.OrderResponse_RESULT_FAILED)
		time.Sleep(2 * enginePollInterval)
		fx.grant("d", "e")
	})
}

// TestNothingIsGrantedAfterADrain checks that a draining sidecar refuses every Reserve call
// that arrives after the start of the drain, and completes the dispatches granted before.
func TestNothingIsGrantedAfterADrain(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, fx *fixture) {
		rng := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var drainedAt time.Time
		var callers sync.WaitGroup
		for n := range 200 {
			delay := randomDuration(rng, 0, 4*time.Second)
			callers.Go(func() {
				time.Sleep(delay)
				id := fmt.Sprint(n)
				response := fx.reserve(fx.request(id, "e"))
				if response.GetGrant() == nil {
					qt.Check(t, response.GetRefusal().GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_DRAINING)
					return
				}
				mu.Lock()
				afterDrain := !drainedAt.IsZero() && time.Now().After(drainedAt)
				mu.Unlock()
				qt.Check(t, afterDrain, qt.IsFalse)
				qt.Check(t, last(fx.dispatch(id, "e")).GetEnd(), qt.IsNotNil)
			})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		drainedAt = time.Now()
		mu.Unlock()
		qt.Assert(t, fx.sidecar.Drain(t.Context()), qt.IsNil)
		callers.Wait()
	})
}
