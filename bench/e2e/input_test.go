package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBadInputIsATypedProblem sends invalid requests, which must be refused with a typed problem
// and must not reach a backend server.
func TestBadInputIsATypedProblem(t *testing.T) {
	s := newSite(t)
	before := s.runs()
	const chat, loans = "/v1/chat/completions", "/services/ledger/loans"
	large := strings.Repeat("x", 200<<10)
	for name, input := range map[string]struct {
		method, path, body, header, value string
	}{
		"malformed JSON":  {http.MethodPost, chat, "{", "", ""},
		"unknown model":   {http.MethodPost, chat, `{"model":"none","messages":[{"role":"user","content":"x"}]}`, "", ""},
		"unknown service": {http.MethodPost, "/services/none/loans", "{}", "", ""},
		"wrong key":       {http.MethodPost, loans, "{}", "Authorization", "Bearer wrong"},
		"large header":    {http.MethodPost, loans, "{}", "X-Large", large},
		"bad deadline":    {http.MethodPost, loans, "{}", "X-Request-Timeout", "soon"},
		"wrong method":    {http.MethodGet, chat, "", "", ""},
		"large body":      {http.MethodPost, loans, strings.Repeat(large, 200), "", ""},
	} {
		s.c.Run(name, func(c *qt.C) {
			r, err := http.NewRequestWithContext(t.Context(), input.method, s.EntryURLs()[0]+input.path, strings.NewReader(input.body))
			c.Assert(err, qt.IsNil)
			r.Header.Set("Authorization", "Bearer "+s.client.Key)
			if input.header != "" {
				r.Header.Set(input.header, input.value)
			}
			response, err := s.client.HTTP.Do(r)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			var problem struct{ Type, Outcome string }
			body, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(json.Unmarshal(body, &problem), qt.IsNil, qt.Commentf("%s", body))
			c.Assert(response.Header.Get("Content-Type"), qt.Equals, "application/problem+json")
			c.Assert(response.StatusCode >= 400 && response.StatusCode < 500, qt.IsTrue, qt.Commentf("%d", response.StatusCode))
			c.Assert(problem.Outcome, qt.Equals, "not-run")
			c.Assert(problem.Type, qt.Not(qt.Equals), "")
		})
	}
	s.c.Assert(s.runs(), qt.DeepEquals, before)
}
