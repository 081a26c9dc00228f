package config_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	accepted = configpb.AuditResult_AUDIT_RESULT_ACCEPTED
	conflict = configpb.AuditResult_AUDIT_RESULT_CONFLICT
	refused  = configpb.AuditResult_AUDIT_RESULT_INVALID
)

// testLog applies records locally and assigns consecutive offsets.
type testLog struct {
	c          *qt.C
	state      *configpb.State
	operations int
}

func newTestLog(t testing.TB) *testLog { return &testLog{c: qt.New(t), state: &configpb.State{}} }

func (log *testLog) apply(record *configpb.Record) *configpb.AuditEntry {
	record.AppendedUnixMs = int64(log.state.GetOffset()) * 1000
	before := proto.CloneOf(log.state)
	old := log.state
	next, entry := config.Apply(log.state, log.state.GetOffset()+1, record)
	if !proto.Equal(before, old) {
		log.c.Fatalf("record at %d changed a published state", next.GetOffset())
	}
	log.state = next
	return entry
}

func (log *testLog) command(operation string, revision uint64, command *configpb.Command) *configpb.AuditEntry {
	command.OperationId = operation
	command.Operator = "dorka"
	command.ExpectedRevision = revision
	return log.apply(&configpb.Record{Author: "entry-1", Body: &configpb.Record_Command{Command: command}})
}

// put applies a command with the current revision of its entity and requires acceptance.
func (log *testLog) put(command *configpb.Command) {
	log.operations++
	probe, _ := config.Apply(log.state, log.state.GetOffset()+1, &configpb.Record{Body: &configpb.Record_Command{
		Command: &configpb.Command{OperationId: "probe", Change: command.Change}}})
	entity := probe.GetAudit()[len(probe.GetAudit())-1].GetEntity()
	entry := log.command("setup-"+string(rune('a'+log.operations)), log.state.GetRevisions()[entity], command)
	log.c.Assert(entry.GetResult(), qt.Equals, accepted, qt.Commentf("%s", entry.GetDetail()))
}

func putVersion(pool, name string, state configpb.VersionState) *configpb.Command {
	return &configpb.Command{Change: &configpb.Command_PutVersion{PutVersion: &configpb.BackendVersion{Pool: pool, Name: name, State: state}}}
}

func putRoute(name, pool string, shares ...*configpb.VersionShare) *configpb.Command {
	return &configpb.Command{Change: &configpb.Command_PutRoute{PutRoute: &configpb.Route{
		Name: name, Kind: configpb.BackendKind_BACKEND_KIND_ENGINE, Pool: pool, Shares: shares}}}
}

func share(version string, bp uint32) *configpb.VersionShare {
	return &configpb.VersionShare{Version: version, ShareBp: bp}
}

func claim(holder string, previous uint64) *configpb.Record {
	return &configpb.Record{Body: &configpb.Record_Lease{Lease: &configpb.LeaseRecord{
		Name: "move/m1", Holder: holder, Action: configpb.LeaseRecord_ACTION_CLAIM, PreviousFencing: previous, TtlMs: 1000}}}
}

func progress(fencing uint64, state configpb.MoveState, share uint32) *configpb.Record {
	return &configpb.Record{Author: "entry-1", Body: &configpb.Record_Progress{Progress: &configpb.MoveProgress{
		MoveId: "m1", Fencing: fencing, State: state, ShareBp: share}}}
}

func confirmMove(log *testLog, id string) *configpb.Command {
	return &configpb.Command{
		Change: &configpb.Command_ConfirmMove{ConfirmMove: &configpb.Move{
			Id: id, Pool: "press", FromVersion: "v1", ToVersion: "v2", Routes: []string{"ribline"}, FinishByUnixMs: 1 << 40}},
		RouteRevisions: map[string]uint64{"ribline": log.state.GetRevisions()["route/ribline"]},
	}
}

// confirmedMove returns a log with a confirmed move m1 and the fencing number of its lease.
func confirmedMove(t testing.TB) (*testLog, uint64) {
	log := newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	log.put(putVersion("press", "v2", configpb.VersionState_VERSION_STATE_UNPROVEN))
	log.put(putRoute("ribline", "press", share("v1", 10_000)))
	entry := log.command("move", 0, confirmMove(log, "m1"))
	log.c.Assert(entry.GetResult(), qt.Equals, accepted, qt.Commentf("%s", entry.GetDetail()))
	log.c.Assert(log.apply(claim("a", 0)).GetResult(), qt.Equals, accepted)
	return log, log.state.GetOffset()
}

func shares(log *testLog) map[string]uint32 {
	all := map[string]uint32{}
	for _, s := range log.state.GetRoutes()["ribline"].GetShares() {
		all[s.GetVersion()] = s.GetShareBp()
	}
	return all
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	log := newTestLog(t)
	tier := func(description string) *configpb.Command {
		return &configpb.Command{Change: &configpb.Command_PutTier{PutTier: &configpb.Tier{Name: "top", Description: description}}}
	}
	first := log.command("op-1", 0, tier("first"))
	second := log.command("op-2", 0, tier("second"))
	log.c.Assert(first.GetResult(), qt.Equals, accepted)
	log.c.Assert(second.GetResult(), qt.Equals, conflict)
	log.c.Assert(second.GetWinnerOffset(), qt.Equals, first.GetOffset())
	log.c.Assert(log.state.GetTiers()["top"].GetDescription(), qt.Equals, "first")
	log.c.Assert(log.command("op-1", 0, tier("first")), qt.Equals, first)
	log.c.Assert(log.command("op-3", first.GetOffset(), tier("third")).GetResult(), qt.Equals, accepted)
}

func TestReferencesAreChecked(t *testing.T) {
	log := newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	for name, command := range map[string]*configpb.Command{
		"no such version": putRoute("r", "press", share("v9", 10_000)),
		"shares too low":  putRoute("r", "press", share("v1", 9_999)),
		"no shares":       putRoute("r", "press"),
		"bad name":        putRoute("r r", "press", share("v1", 10_000)),
		"no such tier": {Change: &configpb.Command_PutAccount{PutAccount: &configpb.ClientAccount{
			Name: "a", Tiers: []string{"none"}}}},
		"long description": {Change: &configpb.Command_PutTier{PutTier: &configpb.Tier{
			Name: "t", Description: strings.Repeat("x", 1025)}}},
		"many tiers": {Change: &configpb.Command_PutAccount{PutAccount: &configpb.ClientAccount{
			Name: "a", Tiers: make([]string, 513)}}},
		"tier is absent": {Change: &configpb.Command_DeleteTier{DeleteTier: "none"}},
	} {
		entry := log.command("op "+name, 0, command)
		log.c.Assert(entry.GetResult(), qt.Equals, refused, qt.Commentf("%s", name))
		log.c.Assert(entry.GetDetail(), qt.Not(qt.Equals), "")
	}
}

func TestMoveAdvancesOnlyWithItsLease(t *testing.T) {
	log, fencing := confirmedMove(t)
	log.c.Assert(log.apply(progress(fencing-1, configpb.MoveState_MOVE_STATE_PREPARING, 0)).GetResult(), qt.Equals, conflict)
	steps := []struct {
		state configpb.MoveState
		share uint32
	}{
		{configpb.MoveState_MOVE_STATE_PREPARING, 0},
		{configpb.MoveState_MOVE_STATE_CANARY, 500},
		{configpb.MoveState_MOVE_STATE_RAMPING, 3000},
		{configpb.MoveState_MOVE_STATE_WATCHING, 10_000},
		{configpb.MoveState_MOVE_STATE_DONE, 10_000},
	}
	for _, step := range steps {
		entry := log.apply(progress(fencing, step.state, step.share))
		log.c.Assert(entry.GetResult(), qt.Equals, accepted, qt.Commentf("%s", entry.GetDetail()))
		log.c.Assert(shares(log)["v2"], qt.Equals, step.share)
	}
	log.c.Assert(shares(log), qt.DeepEquals, map[string]uint32{"v2": 10_000})
	log.c.Assert(log.state.GetVersions()["press/v2"].GetState(), qt.Equals, configpb.VersionState_VERSION_STATE_PROVEN)
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_REVERSING, 0)).GetResult(), qt.Equals, refused)
}

func TestUnprovenVersionStaysWithinShareLimit(t *testing.T) {
	log, fencing := confirmedMove(t)
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_PREPARING, 0))
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_CANARY, 501)).GetResult(), qt.Equals, refused)
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_RAMPING, 100)).GetResult(), qt.Equals, refused)
	log.c.Assert(shares(log), qt.DeepEquals, map[string]uint32{"v1": 10_000})
}

func TestRouteCannotBePutOnAnUnprovenVersion(t *testing.T) {
	log := newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	log.put(putVersion("press", "v2", configpb.VersionState_VERSION_STATE_UNPROVEN))
	log.put(putRoute("ribline", "press", share("v1", 10_000)))
	log.put(putRoute("ribline", "press", share("v1", 9_500), share("v2", 500)))
	for _, bp := range []uint32{501, 10_000} {
		command := putRoute("ribline", "press", share("v1", 10_000-bp), share("v2", bp))
		entry := log.command("op"+string(rune(bp)), log.state.GetRevisions()["route/ribline"], command)
		log.c.Assert(entry.GetResult(), qt.Equals, refused)
	}
	log.put(putRoute("other", "press", share("v2", 10_000)))
}

func TestContainmentRemovesSharePermanently(t *testing.T) {
	log, fencing := confirmedMove(t)
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_PREPARING, 0))
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_CANARY, 500))
	contain := &configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{
		Pool: "press", Version: "v2", Route: "ribline", Reason: "errors", Reporter: "sidecar-3"}}}
	log.c.Assert(log.apply(contain).GetResult(), qt.Equals, accepted)
	log.c.Assert(shares(log), qt.DeepEquals, map[string]uint32{"v1": 10_000, "v2": 0})
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_CANARY, 500)).GetResult(), qt.Equals, refused)
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_REVERSING, 0)).GetResult(), qt.Equals, accepted)
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_REVERSED, 0)).GetResult(), qt.Equals, accepted)
	log.c.Assert(log.state.GetVersions()["press/v2"].GetState(), qt.Equals, configpb.VersionState_VERSION_STATE_CONTAINED)
	log.put(putVersion("press", "v2", configpb.VersionState_VERSION_STATE_UNPROVEN))
	log.c.Assert(log.state.GetVersions()["press/v2"].GetReason(), qt.Equals, "")
}

func TestLongReportsAreTruncated(t *testing.T) {
	log := newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	long := strings.Repeat("é", 2000) // two bytes each
	entry := log.apply(&configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{
		Pool: "press", Version: "v1", Reason: "x" + long}}})
	log.c.Assert(len(entry.GetDetail()) <= 1024, qt.IsTrue)
	_, err := proto.Marshal(config.ToSnapshot(log.state))
	log.c.Assert(err, qt.IsNil)
}

func TestContainedOnlyVersionKeepsItsRoute(t *testing.T) {
	log := newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	log.put(putRoute("ribline", "press", share("v1", 10_000)))
	entry := log.apply(&configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{Pool: "press", Version: "v1"}}})
	log.c.Assert(entry.GetDetail(), qt.Contains, "kept as the only version of ribline")
	log.c.Assert(shares(log), qt.DeepEquals, map[string]uint32{"v1": 10_000})
}

func TestVersionInAMoveCanOnlyBeContained(t *testing.T) {
	log, _ := confirmedMove(t)
	revision := log.state.GetRevisions()["version/press/v2"]
	proven := log.command("prove", revision, putVersion("press", "v2", configpb.VersionState_VERSION_STATE_PROVEN))
	log.c.Assert(proven.GetResult(), qt.Equals, conflict)
	log.c.Assert(proven.GetWinnerOffset(), qt.Equals, log.state.GetRevisions()["move/m1"])
	contained := log.command("contain", revision, putVersion("press", "v2", configpb.VersionState_VERSION_STATE_CONTAINED))
	log.c.Assert(contained.GetResult(), qt.Equals, accepted)
}

func TestReversalNeverReturnsToAContainedVersion(t *testing.T) {
	log, fencing := confirmedMove(t)
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_PREPARING, 0))
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_CANARY, 500))
	log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_RAMPING, 5000))
	log.apply(&configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{Pool: "press", Version: "v1"}}})
	log.c.Assert(shares(log), qt.DeepEquals, map[string]uint32{"v1": 0, "v2": 10_000})
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_REVERSING, 0)).GetResult(), qt.Equals, accepted)
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_REVERSED, 0)).GetResult(), qt.Equals, accepted)
	log.c.Assert(shares(log)["v1"], qt.Equals, uint32(0))
	log.c.Assert(log.state.GetVersions()["press/v2"].GetState(), qt.Equals, configpb.VersionState_VERSION_STATE_PROVEN)
}

func TestMoveIsRefusedOnOverlapOrStalePlan(t *testing.T) {
	log, _ := confirmedMove(t)
	entry := log.command("again", 0, confirmMove(log, "m2"))
	log.c.Assert(entry.GetResult(), qt.Equals, conflict)
	log.c.Assert(entry.GetWinnerOffset(), qt.Equals, log.state.GetRevisions()["move/m1"])

	log = newTestLog(t)
	log.put(putVersion("press", "v1", configpb.VersionState_VERSION_STATE_PROVEN))
	log.put(putVersion("press", "v2", configpb.VersionState_VERSION_STATE_UNPROVEN))
	log.put(putRoute("ribline", "press", share("v1", 10_000)))
	stale := confirmMove(log, "m1")
	log.put(putRoute("ribline", "press", share("v1", 10_000)))
	log.c.Assert(log.command("stale", 0, stale).GetResult(), qt.Equals, conflict)
}

func TestLeaseGoesToTheFirstClaimOfAFencingNumber(t *testing.T) {
	log, fencing := confirmedMove(t)
	log.c.Assert(log.apply(claim("b", 0)).GetResult(), qt.Equals, conflict)
	log.c.Assert(log.apply(claim("b", fencing)).GetResult(), qt.Equals, accepted)
	log.c.Assert(log.apply(claim("c", fencing)).GetResult(), qt.Equals, conflict)
	log.c.Assert(log.state.GetLeases()["move/m1"].GetHolder(), qt.Equals, "b")
	log.c.Assert(log.apply(progress(fencing, configpb.MoveState_MOVE_STATE_PREPARING, 0)).GetResult(), qt.Equals, conflict)
}
