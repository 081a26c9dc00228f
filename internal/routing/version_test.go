package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func twoVersions(shareBP uint32, state configpb.VersionState) (*configpb.State, *configpb.Route) {
	route := &configpb.Route{Name: "pegs", Pool: "model", Shares: []*configpb.VersionShare{
		{Version: "old", ShareBp: fullShareBP - shareBP}, {Version: "new", ShareBp: shareBP},
	}}
	return &configpb.State{
		Routes: map[string]*configpb.Route{"pegs": route},
		Versions: map[string]*configpb.BackendVersion{
			"model/old": {State: configpb.VersionState_VERSION_STATE_PROVEN},
			"model/new": {State: state},
		},
	}, route
}

// TestUnprovenShareIsNeverExceeded guards against sending an unproven version more than its share
// of the requests of all entries together, for any distribution of the requests over them.
func TestUnprovenShareIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Uint32Range(0, fullShareBP).Draw(t, "share")
		entries := rapid.IntRange(1, 8).Draw(t, "entries")
		arrivals := rapid.SliceOfN(rapid.IntRange(0, entries-1), 1, 400).Draw(t, "arrivals")
		state, route := twoVersions(share, configpb.VersionState_VERSION_STATE_UNPROVEN)
		pickers := make([]*VersionPicker, entries)
		for i := range pickers {
			pickers[i] = NewVersionPicker()
		}
		got := 0
		for n, entry := range arrivals {
			version, err := pickers[entry].Pick(state, route, nil)
			if err != nil && share < fullShareBP {
				t.Fatal(err)
			}
			if version == "new" {
				got++
			}
			if got*fullShareBP > (n+1)*int(share) {
				t.Fatalf("%d of %d requests are over the share of %d", got, n+1, share)
			}
		}
	})
}

// TestProvenVersionsFollowTheirShares checks the distribution of 1,000 requests.
func TestProvenVersionsFollowTheirShares(t *testing.T) {
	state, route := twoVersions(2500, configpb.VersionState_VERSION_STATE_PROVEN)
	versions := NewVersionPicker()
	count := map[string]int{}
	for range 1000 {
		version, err := versions.Pick(state, route, nil)
		qt.Assert(t, err, qt.IsNil)
		count[version]++
	}
	qt.Assert(t, count, qt.DeepEquals, map[string]int{"old": 750, "new": 250})
}

// TestContainedVersionGetsNothing covers versions contained by the configuration and by this
// process.
func TestContainedVersionGetsNothing(t *testing.T) {
	state, route := twoVersions(9000, configpb.VersionState_VERSION_STATE_CONTAINED)
	versions := NewVersionPicker()
	for range 100 {
		version, err := versions.Pick(state, route, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, version, qt.Equals, "old")
	}
	state, route = twoVersions(9000, configpb.VersionState_VERSION_STATE_PROVEN)
	local := func(_, version, _ string) bool { return version == "new" }
	for range 100 {
		version, err := versions.Pick(state, route, local)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, version, qt.Equals, "old")
	}
	_, err := versions.Pick(state, route, func(_, _, _ string) bool { return true })
	var none *NoVersionError
	qt.Assert(t, err, qt.ErrorAs, &none)
}
