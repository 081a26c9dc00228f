package query_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/query"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

// keyHash is the SHA-256 of "test".
const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// stateWithMove returns a state with one move at a revision.
func stateWithMove(revision uint64) *configpb.State {
	return &configpb.State{
		Offset:    revision,
		Moves:     map[string]*configpb.Move{"m1": {Id: "m1", State: configpb.MoveState_MOVE_STATE_CANARY}},
		Versions:  map[string]*configpb.BackendVersion{"press/v2": {Pool: "press", Name: "v2", State: configpb.VersionState_VERSION_STATE_CONTAINED}},
		Revisions: map[string]uint64{"move/m1": revision},
		Audit: []*configpb.AuditEntry{
			{Offset: 1, Operator: "dorka", Entity: "tier/top"},
			{Offset: 2, Operator: "naran", Entity: "tier/top"},
			{Offset: 3, Operator: "naran", Entity: "move/m1"},
		},
	}
}

func get(holder *config.Holder, path string, into any) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	query.Register(mux, query.Options{Config: holder, Operators: []settings.Operator{{Name: "dorka", KeySHA256: keyHash}}})
	r := httptest.NewRequest("GET", "/admin/v1/"+path, nil)
	r.Header.Set("Authorization", "Bearer test")
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	_ = json.Unmarshal(w.Body.Bytes(), into)
	return w
}

func newHolder(revision uint64) *config.Holder {
	holder := &config.Holder{}
	holder.Set(stateWithMove(revision))
	return holder
}

func TestWatchReturnsOnNextChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		holder := newHolder(5)
		began := time.Now()
		go func() {
			time.Sleep(time.Second)
			holder.Set(stateWithMove(8))
		}()
		item := operatorapi.Item{}
		get(holder, "moves/m1/watch?revision=5&wait=30s", &item)
		c.Assert(item.Revision, qt.Equals, uint64(8))
		c.Assert(time.Since(began), qt.Equals, time.Second)
		get(holder, "moves/m1/watch?revision=8&wait=2s", &item)
		c.Assert(time.Since(began), qt.Equals, 3*time.Second)
		c.Assert(get(holder, "moves/m2/watch?wait=1s", &item).Code, qt.Equals, http.StatusNotFound)
	})
}

func TestAuditIsFilteredAndNewestFirst(t *testing.T) {
	c := qt.New(t)
	holder := newHolder(5)
	list := operatorapi.List{}
	get(holder, "audit?operator=naran&entity=tier/top", &list)
	c.Assert(list.Items, qt.HasLen, 1)
	c.Assert(list.Items[0].Revision, qt.Equals, uint64(2))
	get(holder, "audit?limit=2", &list)
	c.Assert(list.Items, qt.HasLen, 2)
	c.Assert(list.Items[0].Revision, qt.Equals, uint64(3))
	get(holder, "audit?after=2", &list)
	c.Assert(list.Items, qt.HasLen, 1)
	c.Assert(get(holder, "audit?limit=x", &list).Code, qt.Equals, http.StatusBadRequest)
}

func TestStatusShowsMovesAndContainedVersions(t *testing.T) {
	c := qt.New(t)
	status := operatorapi.Status{}
	get(newHolder(5), "status", &status)
	c.Assert(status.Moves, qt.HasLen, 1)
	c.Assert(status.Contained, qt.DeepEquals, []string{"press/v2"})
	item := operatorapi.Item{}
	c.Assert(get(newHolder(5), "versions/press/v2", &item).Code, qt.Equals, http.StatusOK)
	c.Assert(get(newHolder(5), "tiers/none", &item).Code, qt.Equals, http.StatusNotFound)
}
