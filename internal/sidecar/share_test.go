package sidecar

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// unprovenState returns a configuration with a route "press" that is shared by a proven
// version v1 and an unproven version v2.
func unprovenState(offset uint64, shareBP uint32) *configpb.State {
	return &configpb.State{
		Offset: offset,
		Versions: map[string]*configpb.BackendVersion{
			"model/v1": {Pool: "model", Name: "v1", State: configpb.VersionState_VERSION_STATE_PROVEN},
			"model/v2": {Pool: "model", Name: "v2", State: configpb.VersionState_VERSION_STATE_UNPROVEN},
		},
		Routes: map[string]*configpb.Route{"press": {Name: "press", Pool: "model", Shares: []*configpb.VersionShare{
			{Version: "v1", ShareBp: config.FullShareBP - shareBP}, {Version: "v2", ShareBp: shareBP},
		}}},
	}
}

// reserveVersion reserves a slot for a version on the route "press" and, if granted, runs the
// dispatch.
func (fx *fixture) reserveVersion(n int, version string) *lanepb.ReserveResponse {
	request := fx.request(fmt.Sprint("d", n), "e")
	request.Route, request.Version = "press", version
	response := fx.reserve(request)
	if response.GetGrant() != nil {
		fx.dispatch(request.GetDispatchId(), "e")
	}
	return response
}

// TestUnprovenVersionIsCappedAtTheSidecar checks that the sidecar limits an unproven version
// to its share even if entries, for example with an outdated configuration, request it more
// often.
func TestUnprovenVersionIsCappedAtTheSidecar(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.config.Set(unprovenState(1, config.MaxUnprovenShareBP))
		granted := map[string]int{}
		for n := range 400 {
			version := "v2"
			if n%2 == 0 {
				version = "v1"
			}
			response := fx.reserveVersion(n, version)
			if response.GetGrant() != nil {
				granted[version]++
				continue
			}
			qt.Assert(t, response.GetRefusal().GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
		}
		qt.Assert(t, granted["v1"], qt.Equals, 200)
		maxGrants := 1 + (granted["v1"]+granted["v2"])*config.MaxUnprovenShareBP/config.FullShareBP
		qt.Assert(t, granted["v2"] <= maxGrants && granted["v2"] > maxGrants/2, qt.IsTrue, qt.Commentf("%v, at most %d", granted, maxGrants))
	})
}

func TestUnprovenVersionWithoutAShareIsRefused(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, fx *fixture) {
		fx.config.Set(unprovenState(5, 0))
		request := fx.request("d", "e")
		request.Route, request.Version, request.ConfigOffset = "press", "v2", 4
		qt.Assert(t, fx.reserve(request).GetRefusal().GetReason(), qt.Equals, lanepb.RefusalReason_REFUSAL_REASON_VERSION)
		request.DispatchId, request.ConfigOffset = "d2", 6
		qt.Assert(t, fx.reserve(request).GetGrant(), qt.IsNotNil)
	})
}

// TestShareCapIsNeverExceeded checks that an unproven version stays within its share plus
// the initial credit for every order of grants and refusals.
func TestShareCapIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c shareCap
		grants, unproven := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				if !c.spendCredit("r") {
					continue
				}
				if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
					c.addCredit("r", grantCost)
					continue
				}
				unproven++
			}
			grants++
			c.addCredit("r", config.MaxUnprovenShareBP)
			if unproven*config.FullShareBP > initialCredit+grants*config.MaxUnprovenShareBP {
				t.Fatalf("the unproven version got %d of %d grants", unproven, grants)
			}
		}
	})
}
