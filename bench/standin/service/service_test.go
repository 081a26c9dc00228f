package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRunsAreCountedWhenAnswersAreLost(t *testing.T) {
	c := qt.New(t)
	ledger := New(Options{Name: "ledger", Version: "v1"})
	server := httptest.NewServer(ledger)
	defer server.Close()
	ledger.Set(Switches{LoseAnswers: 1})
	_, err := server.Client().Post(server.URL+"/loans", "application/json", strings.NewReader(`{"operation":"loan-1"}`))
	c.Assert(err, qt.Not(qt.IsNil))
	resp, err := server.Client().Post(server.URL+"/loans", "application/json", strings.NewReader(`{"operation":"loan-1"}`))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.Header.Get("X-Run"), qt.Equals, "2")
	c.Assert(ledger.Runs(), qt.DeepEquals, map[string]int{"loan-1": 2})
	ledger.Set(Switches{Fail: true})
	resp, err = server.Client().Post(server.URL+"/loans", "application/json", strings.NewReader(`{"operation":"loan-2"}`))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusInternalServerError)
	c.Assert(ledger.Runs()["loan-2"], qt.Equals, 0)
}
