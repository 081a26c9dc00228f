package config_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	maxRecords = 120
	pool       = "press"
)

// drawName draws one of few names, so that records often refer to the same entity.
func drawName(t *rapid.T, prefix string, limit int) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(1, limit).Draw(t, prefix))
}

func drawVersion(t *rapid.T) *configpb.BackendVersion {
	state := rapid.SampledFrom([]configpb.VersionState{0, 1, 2, 2, 2, 3, 4}).Draw(t, "version state")
	return &configpb.BackendVersion{Pool: pool, Name: drawName(t, "v", 3), State: state}
}

func drawRoute(t *rapid.T) *configpb.Route {
	first := rapid.SampledFrom([]uint32{10_000, 10_000, 10_000, 9_500, 5_000, 1}).Draw(t, "share")
	shares := []*configpb.VersionShare{{Version: drawName(t, "v", 3), ShareBp: first}}
	if first < 10_000 {
		shares = append(shares, &configpb.VersionShare{Version: drawName(t, "v", 3), ShareBp: 10_000 - first})
	}
	return &configpb.Route{Name: drawName(t, "r", 2), Kind: configpb.BackendKind_BACKEND_KIND_ENGINE, Pool: pool, Shares: shares}
}

func drawAccount(t *rapid.T) *configpb.ClientAccount {
	hash := make([]byte, 32)
	hash[0] = byte(rapid.IntRange(1, 3).Draw(t, "key"))
	return &configpb.ClientAccount{
		Name:  drawName(t, "a", 3),
		Tiers: []string{drawName(t, "t", 2)},
		Keys:  []*configpb.ApiKey{{Id: "k", Sha256: hash}},
	}
}

// drawCommand draws a command, usually with the correct expected revision.
func drawCommand(t *rapid.T, state *configpb.State, number int) *configpb.Command {
	command := &configpb.Command{OperationId: drawOperation(t, number), Operator: drawName(t, "operator", 2)}
	switch rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 8, 8, 8, 8, 8, 9}).Draw(t, "command") {
	case 0:
		rank := uint32(rapid.IntRange(0, 2).Draw(t, "rank"))
		command.Change = &configpb.Command_PutTier{PutTier: &configpb.Tier{Name: drawName(t, "t", 2), Rank: rank}}
	case 1:
		command.Change = &configpb.Command_DeleteTier{DeleteTier: drawName(t, "t", 2)}
	case 2:
		command.Change = &configpb.Command_PutAccount{PutAccount: drawAccount(t)}
	case 3:
		command.Change = &configpb.Command_DeleteAccount{DeleteAccount: drawName(t, "a", 3)}
	case 4, 5:
		command.Change = &configpb.Command_PutVersion{PutVersion: drawVersion(t)}
	case 6:
		command.Change = &configpb.Command_PutRoute{PutRoute: drawRoute(t)}
	case 7:
		command.Change = &configpb.Command_DeleteRoute{DeleteRoute: drawName(t, "r", 2)}
	case 8:
		route := drawName(t, "r", 2)
		command.Change = &configpb.Command_ConfirmMove{ConfirmMove: &configpb.Move{Id: drawName(t, "m", 4), Pool: pool,
			FromVersion: drawName(t, "v", 3), ToVersion: drawName(t, "v", 3), Routes: []string{route}, FinishByUnixMs: 1 << 40}}
		command.RouteRevisions = map[string]uint64{route: state.GetRevisions()[config.RouteEntity(route)]}
	case 9:
		command.Change = &configpb.Command_ReverseMove{ReverseMove: drawName(t, "m", 4)}
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") > 0 {
		entity, _ := config.CommandTarget(command)
		command.ExpectedRevision = state.GetRevisions()[entity]
	}
	return command
}

// drawOperation draws an operation id, which occasionally was used before.
func drawOperation(t *rapid.T, number int) string {
	if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		number = rapid.IntRange(0, number).Draw(t, "operation")
	}
	return fmt.Sprintf("op-%d", number)
}

// drawMove draws the id of an active move, or returns "m1" if there is none.
func drawMove(t *rapid.T, state *configpb.State) string {
	var active []string
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		if move := state.GetMoves()[id]; move != nil && config.MoveActive(move) {
			active = append(active, id)
		}
	}
	if len(active) == 0 {
		return "m1"
	}
	return rapid.SampledFrom(active).Draw(t, "active move")
}

func drawLease(t *rapid.T, state *configpb.State) *configpb.LeaseRecord {
	name := config.MoveLeaseName(drawMove(t, state))
	held := state.GetLeases()[name]
	previous := held.GetFencing()
	if rapid.IntRange(0, 4).Draw(t, "stale lease") == 0 {
		previous = uint64(rapid.IntRange(0, maxRecords).Draw(t, "fencing"))
	}
	action := rapid.SampledFrom([]configpb.LeaseRecord_Action{1, 1, 2, 3}).Draw(t, "action")
	holder := drawName(t, "holder", 2)
	return &configpb.LeaseRecord{Name: name, Holder: holder, Action: action, PreviousFencing: previous, TtlMs: 1000}
}

func drawProgress(t *rapid.T, state *configpb.State) *configpb.MoveProgress {
	id := drawMove(t, state)
	move := state.GetMoves()[id]
	next := rapid.SampledFrom([]configpb.MoveState{move.GetState() + 1, move.GetState() + 1, move.GetState() + 1, configpb.MoveState_MOVE_STATE_REVERSING}).Draw(t, "next")
	shares := map[configpb.MoveState]uint32{
		configpb.MoveState_MOVE_STATE_CANARY:   500,
		configpb.MoveState_MOVE_STATE_RAMPING:  5000,
		configpb.MoveState_MOVE_STATE_WATCHING: 10_000,
		configpb.MoveState_MOVE_STATE_DONE:     10_000,
	}
	return &configpb.MoveProgress{MoveId: id, Fencing: state.GetLeases()[config.MoveLeaseName(id)].GetFencing(), State: next, ShareBp: shares[next]}
}

func drawRecord(t *rapid.T, state *configpb.State, number int) *configpb.Record {
	record := &configpb.Record{Author: drawName(t, "p", 3), AppendedUnixMs: int64(number)}
	switch rapid.IntRange(0, 19).Draw(t, "record") {
	default:
		record.Body = &configpb.Record_Command{Command: drawCommand(t, state, number)}
	case 10, 11, 12:
		record.Body = &configpb.Record_Lease{Lease: drawLease(t, state)}
	case 13, 14, 15, 16, 17, 18:
		record.Body = &configpb.Record_Progress{Progress: drawProgress(t, state)}
	case 19:
		record.Body = &configpb.Record_Containment{Containment: &configpb.Containment{Pool: pool, Version: drawName(t, "v", 3), Reason: "errors"}}
	}
	return record
}

// setup returns the first records of each log: a proven version with two routes, two unproven ones.
func setup() []*configpb.Record {
	commands := []*configpb.Command{
		putVersion(pool, "v1", configpb.VersionState_VERSION_STATE_PROVEN),
		putVersion(pool, "v2", configpb.VersionState_VERSION_STATE_UNPROVEN),
		putVersion(pool, "v3", configpb.VersionState_VERSION_STATE_UNPROVEN),
		putRoute("r1", pool, share("v1", 10_000)),
		putRoute("r2", pool, share("v1", 10_000)),
	}
	var records []*configpb.Record
	for i, command := range commands {
		command.OperationId = fmt.Sprintf("setup-%d", i)
		records = append(records, &configpb.Record{Body: &configpb.Record_Command{Command: command}})
	}
	return records
}

// drawLog draws a log and returns the state after each record.
func drawLog(t *rapid.T) (records [][]byte, states []*configpb.State) {
	state := &configpb.State{}
	first := setup()
	for i := range len(first) + rapid.IntRange(1, maxRecords).Draw(t, "records") {
		var record *configpb.Record
		if i < len(first) {
			record = first[i]
		} else {
			record = drawRecord(t, state, i)
		}
		data, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, data)
		state = applyData(t, state, uint64(i+1), data)
		states = append(states, state)
	}
	return records, states
}

func applyData(t *rapid.T, state *configpb.State, offset uint64, data []byte) *configpb.State {
	record := &configpb.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		t.Fatal(err)
	}
	next, _ := config.Apply(state, offset, record)
	return next
}

// throughSnapshot encodes a state as a snapshot and decodes it again.
func throughSnapshot(t *rapid.T, state *configpb.State) *configpb.State {
	data, err := proto.Marshal(config.ToSnapshot(state))
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &configpb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		t.Fatal(err)
	}
	return config.FromSnapshot(snapshot)
}

// Processes at the same offset have the same state, regardless of the snapshots that they
// started from and of records that were delivered repeatedly.
func TestReadersAtOneOffsetHoldTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, states := drawLog(t)
		replica := &configpb.State{}
		for i, data := range records {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				replica = throughSnapshot(t, replica)
			}
			if i > 0 && rapid.IntRange(0, 9).Draw(t, "repeat") == 0 {
				replica = applyData(t, replica, uint64(i), records[i-1])
			}
			replica = applyData(t, replica, uint64(i+1), data)
			if !proto.Equal(replica, states[i]) {
				t.Fatalf("readers differ at offset %d:\n%v\n%v", i+1, replica, states[i])
			}
		}
	})
}

// checkInvariants checks the invariants of every state.
func checkInvariants(t *rapid.T, before, state *configpb.State) {
	for name, route := range state.GetRoutes() {
		var sum uint32
		for _, share := range route.GetShares() {
			sum += share.GetShareBp()
			checkShare(t, before, state, route, share)
		}
		if sum != config.FullShareBP {
			t.Fatalf("offset %d: shares of %s add up to %d", state.GetOffset(), name, sum)
		}
	}
	moving := map[string]string{}
	for id, move := range state.GetMoves() {
		for _, key := range append(move.GetRoutes(), "version "+move.GetFromVersion(), "version "+move.GetToVersion()) {
			if config.MoveActive(move) && moving[key] != "" {
				t.Fatalf("offset %d: %s is in moves %s and %s", state.GetOffset(), key, id, moving[key])
			}
			if config.MoveActive(move) {
				moving[key] = id
			}
		}
	}
}

// checkShare checks that the share of a contained version never rises, and that the share of an
// unproven version rises above its limit only on a new route or under a move.
func checkShare(t *rapid.T, before, after *configpb.State, route *configpb.Route, share *configpb.VersionShare) {
	old := config.ShareOf(before.GetRoutes()[route.GetName()], share.GetVersion())
	if share.GetShareBp() <= old {
		return
	}
	version := before.GetVersions()[config.VersionKey(pool, share.GetVersion())]
	last := after.GetAudit()[len(after.GetAudit())-1]
	switch version.GetState() {
	case configpb.VersionState_VERSION_STATE_CONTAINED:
		t.Fatalf("share of contained version %s rose to %d by %v", share.GetVersion(), share.GetShareBp(), last)
	case configpb.VersionState_VERSION_STATE_UNPROVEN:
		isNew := before.GetRoutes()[route.GetName()] == nil
		if share.GetShareBp() > config.MaxUnprovenShareBP && !isNew && !mayExceedUnprovenShare(before, route.GetName(), share.GetVersion()) {
			t.Fatalf("share of unproven version %s rose to %d by %v; before: %v", share.GetVersion(), share.GetShareBp(), last, before.GetRoutes())
		}
	}
}

// mayExceedUnprovenShare reports whether an active move of the route allows a version a larger
// share: it is the new version in the canary state, or the old version and the move may be reversed.
func mayExceedUnprovenShare(state *configpb.State, route, version string) bool {
	for _, move := range state.GetMoves() {
		if !config.MoveActive(move) || move.GetRoutes()[0] != route {
			continue
		}
		if move.GetFromVersion() == version {
			return true
		}
		if move.GetToVersion() == version && move.GetState() == configpb.MoveState_MOVE_STATE_CANARY {
			return true
		}
	}
	return false
}

func TestEveryStateKeepsItsInvariants(t *testing.T) {
	seen := map[configpb.MoveState]int{}
	rapid.Check(t, func(t *rapid.T) {
		_, states := drawLog(t)
		before := &configpb.State{}
		for _, state := range states {
			checkInvariants(t, before, state)
			before = state
		}
		for _, move := range before.GetMoves() {
			seen[move.GetState()]++
		}
	})
	t.Logf("states of moves at the end: %v", seen)
	qt.Assert(t, len(seen) > 0, qt.IsTrue)
}

func TestHolderIgnoresOlderState(t *testing.T) {
	c := qt.New(t)
	holder := &config.Holder{}
	changed := holder.Changed()
	c.Assert(holder.Set(&configpb.State{Offset: 2}), qt.IsTrue)
	<-changed
	c.Assert(holder.Set(&configpb.State{Offset: 1}), qt.IsFalse)
	c.Assert(holder.Current().GetOffset(), qt.Equals, uint64(2))
}
