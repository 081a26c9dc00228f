package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/prefix"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

func sidecars(n int, state platform.InstanceState) []platform.Instance {
	var list []platform.Instance
	for i := range n {
		list = append(list, platform.Instance{
			ID: fmt.Sprint("i", i), Role: platform.RoleSidecar, State: state, Address: fmt.Sprint("10.0.0.", i, ":1"),
			BackendServers: []platform.BackendServer{{ID: fmt.Sprint("e", i), Kind: "engine", Pool: "model"}},
		})
	}
	return list
}

func load(id string, sequence, work uint64) *lanepb.Load {
	return &lanepb.Load{BackendServer: id, BootId: "b", Sequence: sequence, WorkByRank: []uint64{work / 2, work},
		WorkTokens: work, TokensPerSecond: 1000, Versions: []string{"v1"}}
}

var now = time.Unix(1_700_000_000, 0)

// TestLeavingBackendServerGetsNoWork guards against sending new requests to an instance that is
// leaving.
func TestLeavingBackendServerGetsNoWork(t *testing.T) {
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	list := sidecars(2, platform.InstanceLive)
	list[0].State = platform.InstanceLeaving
	table.SetInstances(list)
	for i := range 50 {
		target, err := table.Choose(Request{ID: fmt.Sprint(i), Pool: "model"}, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, target.BackendServer, qt.Equals, "e1")
	}
	table.SetInstances(sidecars(2, platform.InstanceLeaving))
	_, err := table.Choose(Request{Pool: "model"}, now)
	var none *NoServerError
	qt.Assert(t, err, qt.ErrorAs, &none)
	qt.Assert(t, none.Reason, qt.Equals, ReasonDraining)
}

// TestChoiceCountsWorkOfItsRankAndOwnSends guards against choosing a server by work that would
// not precede the request, and against ignoring sends that no load report includes yet.
func TestChoiceCountsWorkOfItsRankAndOwnSends(t *testing.T) {
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	table.SetInstances(sidecars(2, platform.InstanceLive))
	busy := load("e0", 1, 0)
	busy.WorkByRank = []uint64{0, 90_000}
	table.Observe(busy, now)
	table.Observe(load("e1", 1, 10_000), now)
	low, err := table.Choose(Request{ID: "low", Pool: "model", Version: "v1", Rank: 1, PromptTokens: 100}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, low.BackendServer, qt.Equals, "e1")
	// A request of the highest tier does not wait behind the work of the lower tier.
	high, err := table.Choose(Request{ID: "high", Pool: "model", Version: "v1", PromptTokens: 100_000}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, high.BackendServer, qt.Equals, "e0")
	// The send counts before a load report includes it.
	next, err := table.Choose(Request{ID: "next", Pool: "model", Version: "v1", PromptTokens: 100}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, next.BackendServer, qt.Equals, "e1")
}

// TestOlderLoadIsDropped guards against replacing a load report by an older one that arrives
// late.
func TestOlderLoadIsDropped(t *testing.T) {
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	table.SetInstances(sidecars(2, platform.InstanceLive))
	table.Observe(load("e0", 9, 50_000), now)
	table.Observe(load("e0", 8, 0), now)
	table.Observe(load("e1", 1, 10_000), now)
	target, err := table.Choose(Request{Pool: "model", Rank: 1}, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, target.BackendServer, qt.Equals, "e1")
}

// TestFailingBackendServerIsEjectedForATime checks that consecutive failures eject a server, and
// that it is usable again after the ejection.
func TestFailingBackendServerIsEjectedForATime(t *testing.T) {
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	table.SetInstances(sidecars(2, platform.InstanceLive))
	for range ejectAfterFailures {
		table.Fail("e0", now)
	}
	for i := range 20 {
		target, err := table.Choose(Request{ID: fmt.Sprint(i), Pool: "model"}, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, target.BackendServer, qt.Equals, "e1")
	}
	target, err := table.Choose(Request{Pool: "model", Exclude: map[string]bool{"e1": true}}, now.Add(2*firstEjection))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, target.BackendServer, qt.Equals, "e0")
}

// TestEjectedServersComeAfterHealthyOnesOfThePool guards against sending to an ejected server of the
// subset while the rest of the pool is healthy.
func TestEjectedServersComeAfterHealthyOnesOfThePool(t *testing.T) {
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	list := sidecars(60, platform.InstanceLive)
	for i := range 40 {
		list = append(list, platform.Instance{ID: fmt.Sprint("entry", i), Role: platform.RoleEntry})
	}
	table.SetInstances(list)
	qt.Assert(t, len(table.others["model"]) > 0, qt.IsTrue)
	for _, s := range table.subsets["model"] {
		for range ejectAfterFailures {
			table.Fail(s.target.BackendServer, now)
		}
	}
	for i := range 20 {
		target, err := table.Choose(Request{ID: fmt.Sprint(i), Pool: "model"}, now)
		qt.Assert(t, err, qt.IsNil)
		for _, s := range table.subsets["model"] {
			qt.Assert(t, target.BackendServer, qt.Not(qt.Equals), s.target.BackendServer)
		}
	}
}

// TestReasonIsThatOfTheClosestServer guards against a reason that depends on the order of the servers.
func TestReasonIsThatOfTheClosestServer(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}} {
		table := NewTable(Options{EntryID: "entry", Seed: 1})
		all, list := sidecars(3, platform.InstanceLive), []platform.Instance{}
		all[0].State = platform.InstanceLeaving
		for _, i := range order {
			list = append(list, all[i])
		}
		table.SetInstances(list)
		other := load("e2", 1, 0)
		other.Versions = []string{"v2"}
		for _, l := range []*lanepb.Load{load("e0", 1, 0), load("e1", 1, 0), other} {
			table.Observe(l, now)
		}
		_, err := table.Choose(Request{Pool: "model", Version: "v1", Exclude: map[string]bool{"e1": true}}, now)
		var none *NoServerError
		qt.Assert(t, err, qt.ErrorAs, &none)
		qt.Assert(t, none.Reason, qt.Equals, ReasonExcluded)
	}
}

// TestCachedPrefixIsPreferredUntilItsHolderIsLoaded guards against ignoring a cached prefix, and
// against overloading its holder.
func TestCachedPrefixIsPreferredUntilItsHolderIsLoaded(t *testing.T) {
	prompt := make([]byte, 2600*prefix.BytesPerToken)
	prefixes := prefix.Hashes(prompt)
	qt.Assert(t, prefixes, qt.HasLen, 6)
	request := Request{Pool: "model", Version: "v1", PromptTokens: 2600, Prefixes: prefixes}
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	table.SetInstances(sidecars(8, platform.InstanceLive))
	for i := range 8 {
		table.Observe(load(fmt.Sprint("e", i), 1, 2_000), now)
	}
	holder := load("e5", 2, 3_000)
	holder.Prefixes = prefixes
	table.Observe(holder, now)
	target, err := table.Choose(request, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, target.BackendServer, qt.Equals, "e5")
	holder = load("e5", 3, 60_000)
	holder.Prefixes = prefixes
	table.Observe(holder, now)
	target, err = table.Choose(request, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, target.BackendServer, qt.Not(qt.Equals), "e5")
}

// TestSubsetsKeepTheMeshSparse guards against connections between all entries and all sidecars,
// sidecars that no entry reaches, and many new connections when the instance list changes.
func TestSubsetsKeepTheMeshSparse(t *testing.T) {
	const entries, count = 40, 340
	list := sidecars(count, platform.InstanceLive)
	for i := range entries {
		list = append(list, platform.Instance{ID: fmt.Sprint("entry", i), Role: platform.RoleEntry})
	}
	reached := map[string]int{}
	moved := 0
	for i := range entries {
		table := NewTable(Options{EntryID: fmt.Sprint("entry", i), Seed: 1})
		table.SetInstances(list)
		before := map[string]bool{}
		for _, s := range table.subsets["model"] {
			before[s.target.Address] = true
			reached[s.target.Address]++
		}
		qt.Assert(t, len(before), qt.Equals, subsetSize(count, entries))
		table.SetInstances(list[1:])
		for _, s := range table.subsets["model"] {
			if !before[s.target.Address] {
				moved++
			}
		}
	}
	qt.Assert(t, subsetSize(count, entries), qt.Equals, 34)
	qt.Assert(t, moved <= 2*entriesPerSidecar*2, qt.IsTrue, qt.Commentf("%d moved", moved))
	qt.Assert(t, len(reached) > count*95/100, qt.IsTrue, qt.Commentf("%d reached", len(reached)))
}

// TestRetryBudgetIsAShareOfSuccesses guards against unlimited retries during an outage.
func TestRetryBudgetIsAShareOfSuccesses(t *testing.T) {
	budget := NewRetryBudget()
	taken := 0
	for range 1000 {
		if budget.Take() {
			taken++
		}
	}
	qt.Assert(t, taken, qt.Equals, int(maxRetries))
	for range 200 {
		budget.Succeeded()
	}
	taken = 0
	for budget.Take() {
		taken++
	}
	qt.Assert(t, taken >= 19 && taken <= 20, qt.IsTrue)
}
