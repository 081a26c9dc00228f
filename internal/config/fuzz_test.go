package config_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// FuzzApply applies arbitrary records to a state with a move. Apply must not panic, and each
// record must advance the offset.
func FuzzApply(f *testing.F) {
	start, fencing := confirmedMove(f)
	seeds := append(setup(),
		claim("b", fencing),
		progress(fencing, configpb.MoveState_MOVE_STATE_PREPARING, 0),
		&configpb.Record{Body: &configpb.Record_Containment{Containment: &configpb.Containment{Pool: "press", Version: "v2"}}},
		&configpb.Record{Body: &configpb.Record_Snapshot{Snapshot: config.ToSnapshot(start.state)}},
		&configpb.Record{Body: &configpb.Record_Command{Command: confirmMove(start, "m2")}},
	)
	for _, seed := range seeds {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record := &configpb.Record{}
		if proto.Unmarshal(data, record) != nil {
			return
		}
		state, offset := start.state, start.state.GetOffset()
		for range 2 {
			offset++
			state, _ = config.Apply(state, offset, record)
			if state.GetOffset() != offset {
				t.Fatalf("offset %d after record %d", state.GetOffset(), offset)
			}
		}
		if snapshot := record.GetSnapshot(); snapshot != nil {
			config.FromSnapshot(snapshot)
		}
	})
}
