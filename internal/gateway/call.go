package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// routeRanks and accountRanks bound the ranks that are told apart; together they
	// make the ranks of admission.MaxRank.
	routeRanks   = 4
	accountRanks = 4
	// staleRetryAfter is told to callers whom a process can't serve because it has lost
	// the store: another process answers at once.
	staleRetryAfter = 100 * time.Millisecond
)

// lateHoldObjectives is how long past their objectives requests may wait for a slot, in
// objectives, by the rank of their route: those of the two highest ranks are short, and
// a late answer is worth more to their callers than a refusal.
var lateHoldObjectives = []float64{1, 0.5}

// call is one request of a caller on its way.
type call struct {
	info    RequestInfo
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	// deadline is when the request must have its final answer (steady clock): the
	// caller's or the route's, whichever comes first.
	deadline time.Time

	manifest *fleet.Manifest
	// manifestAge is how long ago the manifest was known to be the newest one.
	manifestAge time.Duration
	route       *fleet.Route
	service     string
	engine      *fleet.Engine
	account     *fleet.Account
	// finished says that the call has its line.
	finished bool
	// memory is the memory of the request: its body, and its answer while that is held.
	memory *membudget.Hold
}

// rank returns the tier of the request among all: the account's rank takes precedence
// over the route's, which decides between requests of accounts of one rank.
func (c *call) rank() int {
	route := min(max(c.route.Rank, 0), routeRanks-1)
	account := route
	if c.account != nil && c.account.HasRank {
		account = min(max(c.account.Rank, 0), accountRanks-1)
	}
	return account*routeRanks + route
}

// lateHold returns how long past its objective the request may still wait for a slot.
func (c *call) lateHold() time.Duration {
	if c.route.Rank < 0 || c.route.Rank >= len(lateHoldObjectives) {
		return 0
	}
	return time.Duration(lateHoldObjectives[c.route.Rank] * float64(c.route.Objective))
}

// tokenCost returns what the request counts for against its account's limit.
func (c *call) tokenCost() float64 {
	if c.info.HasTokens {
		return float64(c.info.PromptTokens + c.info.MaxOutputTokens)
	}
	return float64(c.account.DefaultTokens)
}

// outputTokens returns the expected number of output tokens.
func (c *call) outputTokens() int {
	if c.info.OutputHint > 0 {
		return c.info.OutputHint
	}
	return c.info.MaxOutputTokens
}

func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

func (c *call) stream() bool { return c.route.Kind == fleet.KindStreaming }

// objectiveLeft returns the time until the answer, or its first event, should come.
func (c *call) objectiveLeft() time.Duration {
	return c.route.Objective - steady.Since(c.arrived)
}

// accept checks a request and reads its body. The call it returns is never nil.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*call, *Failure) {
	call := &call{method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, arrived: steady.Now(), memory: g.memory.Hold()}
	if len(call.target) == 0 || call.target[0] != '/' {
		call.target = r.URL.RequestURI()
	}
	var err error
	if call.info, err = g.options.Codec.DecodeRequest(r.Header); err != nil {
		return call, refusal(KindMalformed, http.StatusBadRequest, err.Error())
	}
	manifest, confirmed := g.options.Manifest.Current()
	if manifest == nil {
		return call, unavailable(KindNotReady, staleRetryAfter, "no configuration yet")
	}
	call.manifest, call.manifestAge = manifest, call.arrived.Sub(confirmed)
	if failure := g.resolve(call, r); failure != nil {
		return call, failure
	}
	if failure := g.shed(call); failure != nil {
		return call, failure
	}
	if limit := manifest.Limits.MaxHeaderBytes; limit > 0 && headerBytes(r.Header) > limit {
		return call, refusal(KindTooLarge, http.StatusRequestHeaderFieldsTooLarge, "the headers are too large")
	}
	call.deadline = call.arrived.Add(call.route.Timeout)
	if patience := call.info.Patience; call.info.HasPatience && patience < call.route.Timeout {
		call.deadline = call.arrived.Add(patience)
	}
	var failure *Failure
	call.body, failure = g.readBody(w, r, call)
	return call, failure
}

// resolve finds route, account and service. Where the manifest may be out of date, a
// caller is sent elsewhere rather than told that its route or key doesn't exist.
func (g *Gateway) resolve(call *call, r *http.Request) *Failure {
	stale := call.manifestAge > g.options.Bounds.ApplyWithin
	call.route = call.manifest.Match(r.Host, r.URL.EscapedPath())
	if call.route == nil && stale {
		return unavailable(KindNotReady, staleRetryAfter, "the configuration may be out of date")
	}
	if call.route == nil {
		return refusal(KindNoRoute, http.StatusNotFound, "no route for this host and path")
	}
	if call.manifest.HasAccounts && !call.route.Anonymous {
		call.account = call.manifest.Account(call.info.Key)
		switch {
		case call.manifestAge > g.options.Bounds.RevokeWithin:
			return unavailable(KindNotReady, staleRetryAfter, "keys can't be checked: the configuration is out of date")
		case call.account == nil && stale:
			return unavailable(KindNotReady, staleRetryAfter, "the configuration may be out of date")
		case call.account == nil:
			return refusal(KindUnauthorized, http.StatusUnauthorized, "the API key is missing or unknown")
		}
	}
	call.service = g.pickService(call.route)
	call.engine = call.manifest.Services[call.service].Engine
	return nil
}

// pickService draws the service of a request by the shares of its route.
func (g *Gateway) pickService(route *fleet.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0.0
	for _, share := range route.Shares {
		total += max(share.Weight, 0)
	}
	point := g.random() * total
	for _, share := range route.Shares {
		if point -= max(share.Weight, 0); point < 0 {
			return share.Service
		}
	}
	return route.Shares[0].Service
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			// ": " and the end of the line count too.
			n += len(name) + len(value) + 4
		}
	}
	return n
}

// context returns the context of a call: it ends when the caller leaves or at the deadline.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(parent, steady.Until(c.deadline), errDeadline)
}

// DeadlineError says that a request had no answer at its deadline.
type DeadlineError struct{}

func (*DeadlineError) Error() string { return "no answer at the deadline" }

var errDeadline = &DeadlineError{}
