package command_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

// keyHash is the SHA-256 of "test".
const keyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// submitter returns the same result for every command and records the last one.
type submitter struct {
	last *configpb.Command
	err  error
}

func (s *submitter) Submit(_ context.Context, c *configpb.Command) (*configpb.AuditEntry, error) {
	s.last = c
	return &configpb.AuditEntry{Offset: 7, Operator: c.GetOperator(), OperationId: c.GetOperationId()}, s.err
}

func send(s *submitter, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	command.Register(mux, command.Options{
		Log:       s,
		Config:    &config.Holder{},
		Operators: []settings.Operator{{Name: "dorka", KeySHA256: keyHash}},
	})
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer test")
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

func TestChangeCarriesOperatorOperationAndRevision(t *testing.T) {
	c := qt.New(t)
	s := &submitter{}
	w := send(s, "PUT", "/admin/v1/tiers/top", `{"name":"top","rank":0}`, map[string]string{"If-Match": `"5"`, "Idempotency-Key": "op-1"})
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Header().Get("ETag"), qt.Equals, `"7"`)
	c.Assert(s.last.GetOperator(), qt.Equals, "dorka")
	c.Assert(s.last.GetOperationId(), qt.Equals, "op-1")
	c.Assert(s.last.GetExpectedRevision(), qt.Equals, uint64(5))
}

func TestBadRequestsNeverReachTheLog(t *testing.T) {
	c := qt.New(t)
	match := map[string]string{"If-Match": "5"}
	for _, request := range []struct {
		method, path, body string
		header             map[string]string
		status             int
	}{
		{"PUT", "/admin/v1/tiers/top", `{"name":"top"}`, nil, http.StatusPreconditionRequired},
		{"PUT", "/admin/v1/tiers/top", `{"name":"low"}`, match, http.StatusBadRequest},
		{"PUT", "/admin/v1/tiers/top", `{"nam":"top"}`, match, http.StatusBadRequest},
		{"PUT", "/admin/v1/tiers/top", `{"name":"top"}`, map[string]string{"If-Match": "x"}, http.StatusBadRequest},
		{"PUT", "/admin/v1/tiers/top", `{"name":"top"}`, map[string]string{"If-Match": "5", "Idempotency-Key": strings.Repeat("x", 129)}, http.StatusBadRequest},
		{"PUT", "/admin/v1/tiers/top", `{"name":"top"}`, map[string]string{"Authorization": "Bearer wrong"}, http.StatusUnauthorized},
		{"PUT", "/admin/v1/versions/p/v1", `{"name":"v1","pool":"q"}`, match, http.StatusBadRequest},
		{"POST", "/admin/v1/moves", `{}`, nil, http.StatusBadRequest},
		{"POST", "/admin/v1/moves/m1/reverse", ``, nil, http.StatusNotFound},
	} {
		s := &submitter{}
		w := send(s, request.method, request.path, request.body, request.header)
		c.Assert(w.Code, qt.Equals, request.status, qt.Commentf("%+v: %s", request, w.Body))
		c.Assert(w.Header().Get("Content-Type"), qt.Equals, "application/problem+json")
		c.Assert(s.last, qt.IsNil)
	}
}

func TestFailuresAreTyped(t *testing.T) {
	c := qt.New(t)
	entry := &configpb.AuditEntry{Entity: "tier/top", OperationId: "op-1"}
	winner := &configpb.AuditEntry{Entity: "tier/top", Operator: "naran", Offset: 6, UnixMs: 1000, Action: "put"}
	for _, failure := range []struct {
		err     error
		status  int
		kind    string
		outcome string
	}{
		{&logstream.ConflictError{Entry: entry, Winner: winner}, 409, "conflict", "not-run"},
		{&logstream.InvalidError{Entry: entry}, 422, "invalid", "not-run"},
		{&logstream.LogUnavailableError{}, 503, "log-unavailable", "not-run"},
		{&logstream.ResultUnknownError{OperationID: "op-1"}, 504, "result-unknown", "unknown"},
	} {
		w := send(&submitter{err: failure.err}, "DELETE", "/admin/v1/tiers/top", "", map[string]string{"If-Match": "5"})
		problem := operatorapi.Problem{}
		c.Assert(json.Unmarshal(w.Body.Bytes(), &problem), qt.IsNil)
		c.Assert(w.Code, qt.Equals, failure.status)
		c.Assert(problem.Type, qt.Equals, "urn:lagoonlane:problem:"+failure.kind)
		c.Assert(problem.Outcome, qt.Equals, failure.outcome)
		if failure.status == http.StatusConflict {
			c.Assert(*problem.Winner, qt.Equals, operatorapi.Winner{
				Operator: "naran", Offset: 6, Time: time.Unix(1, 0).UTC(), Entity: "tier/top", Action: "put"})
		}
	}
}
