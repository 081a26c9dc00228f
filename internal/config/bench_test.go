package config_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// deploymentSize is the size of a deployment.
type deploymentSize struct {
	name     string
	accounts int
	models   int
	changes  int
}

var sizes = []deploymentSize{
	{name: "today", accounts: 5, models: 2, changes: 500},
	{name: "coming", accounts: 290, models: 8, changes: config.MaxAuditEntries},
}

func hash(account, key int) []byte {
	sum := make([]byte, 32)
	copy(sum, fmt.Sprintf("%d/%d", account, key))
	return sum
}

func benchAccount(i int) *configpb.ClientAccount {
	return &configpb.ClientAccount{
		Name:   fmt.Sprintf("account-%03d", i),
		Tiers:  []string{"t0", "t1"},
		Weight: 2,
		Keys:   []*configpb.ApiKey{{Id: "k-20260101-000000", Sha256: hash(i, 1)}, {Id: "k-20260201-000000", Sha256: hash(i, 2)}},
		Limits: &configpb.AccountLimits{MaxConcurrent: 100, RequestsPerSecond: 50, TokensPerSecond: 10_000},
	}
}

// accountChange returns a record with an operator's change of one client account.
func accountChange(state *configpb.State, number, account int) *configpb.Record {
	return &configpb.Record{Author: "entry-07", AppendedUnixMs: 1_800_000_000_000 + int64(number), Body: &configpb.Record_Command{Command: &configpb.Command{
		OperationId:      fmt.Sprintf("%016x", number),
		Operator:         "dorka.kiss",
		ExpectedRevision: state.GetRevisions()[config.AccountEntity(benchAccount(account).GetName())],
		Change:           &configpb.Command_PutAccount{PutAccount: benchAccount(account)},
	}}}
}

// benchState returns the state of a deployment after the given number of changes.
func benchState(b *testing.B, s deploymentSize) *configpb.State {
	f := newTestLog(b)
	for i := range 5 {
		f.put(&configpb.Command{Change: &configpb.Command_PutTier{PutTier: &configpb.Tier{Name: fmt.Sprintf("t%d", i), Rank: uint32(i)}}})
	}
	for i := range s.models {
		pool := fmt.Sprintf("pool-%d", i)
		f.put(putVersion(pool, "v1", configpb.VersionState_VERSION_STATE_PROVEN))
		f.put(putVersion(pool, "v2", configpb.VersionState_VERSION_STATE_UNPROVEN))
		f.put(putRoute("model-"+pool, pool, share("v1", 10_000)))
	}
	state := f.state
	for i := range s.accounts + s.changes {
		state, _ = config.Apply(state, state.GetOffset()+1, accountChange(state, i, i%s.accounts))
	}
	if last := state.GetAudit()[len(state.GetAudit())-1]; last.GetResult() != accepted {
		b.Fatal(last)
	}
	return state
}

func BenchmarkApplyChange(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			state := benchState(b, s)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				state, _ = config.Apply(state, state.GetOffset()+1, accountChange(state, s.accounts+s.changes+i, i%s.accounts))
			}
		})
	}
}

func BenchmarkApplyRenewal(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			state := benchState(b, s)
			state, _ = config.Apply(state, state.GetOffset()+1, claim("a", 0))
			renewal := &configpb.Record{Body: &configpb.Record_Lease{Lease: &configpb.LeaseRecord{Name: "move/m1", Holder: "a",
				Action: configpb.LeaseRecord_ACTION_RENEW, PreviousFencing: state.GetOffset()}}}
			b.ReportAllocs()
			for b.Loop() {
				state, _ = config.Apply(state, state.GetOffset()+1, renewal)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			state := benchState(b, s)
			var data []byte
			for b.Loop() {
				data, _ = proto.Marshal(config.ToSnapshot(state))
			}
			audit, _ := proto.Marshal(&configpb.State{Audit: state.GetAudit()})
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(audit)), "audit-bytes")
		})
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			state := benchState(b, s)
			key := hash(s.accounts-1, 2)
			for b.Loop() {
				if _, ok := config.AccountByKey(state, key); !ok {
					b.Fatal("no account")
				}
			}
		})
	}
}
