package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// routeRanks and accountRanks are the numbers of distinct ranks of routes and accounts.
	// Their product is the number of ranks of admission (admission.MaxRank + 1).
	routeRanks   = 4
	accountRanks = 4
	// staleRetryAfter is the Retry-After sent when this process can't serve a request but
	// another one can at once, for example because this process has lost the store.
	staleRetryAfter = 100 * time.Millisecond
)

// lateHoldObjectives is how long a request may wait for a slot past its objective, as a multiple
// of the objective, indexed by the rank of its route. The objectives of the two highest ranks
// are short, and for their callers a late answer is better than a refusal.
var lateHoldObjectives = []float64{1, 0.5}

// call is the state of one caller's request.
type call struct {
	info    RequestInfo
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	// deadline is when the request must have its final answer: the earlier of the caller's and
	// the route's timeout. It is a time of the clock that counts suspension (package steady).
	deadline time.Time

	// age is how long the caller had been waiting before this attempt, as far as is known.
	age time.Duration

	manifest *fleet.Manifest
	// manifestAge is the time since the manifest was last verified as the newest.
	manifestAge time.Duration
	route       *fleet.Route
	service     string
	engine      *fleet.Engine
	// prompt is that of a request to an engine.
	prompt  poison.Prompt
	account *fleet.Account
	// finished is set once the request's log line has been written.
	finished bool
	// memory is the memory charged to the request: its body, and its answer while it is
	// buffered.
	memory *membudget.Reservation
}

// rank returns the admission rank of the request. The account's rank takes precedence; the
// route's rank orders requests of accounts with equal rank.
func (c *call) rank() int {
	route := min(max(c.route.Rank, 0), routeRanks-1)
	account := route
	if c.account != nil && c.account.HasRank {
		account = min(max(c.account.Rank, 0), accountRanks-1)
	}
	return account*routeRanks + route
}

// lateHold returns how long past its objective the request may wait for a slot.
func (c *call) lateHold() time.Duration {
	if c.route.Rank < 0 || c.route.Rank >= len(lateHoldObjectives) {
		return 0
	}
	return time.Duration(lateHoldObjectives[c.route.Rank] * float64(c.route.Objective))
}

// tokenCost returns the number of tokens charged against the account's limit.
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

// objectiveLeft returns the time left until the objective for the answer, or for its first event
// in a stream. It is negative past the objective.
func (c *call) objectiveLeft() time.Duration {
	return c.route.Objective - steady.Since(c.arrived)
}

// accept checks a request and reads its body. The returned call is never nil.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*call, *Failure) {
	call := &call{method: r.Method, target: r.RequestURI, host: r.Host, header: r.Header, arrived: steady.Now(), memory: g.memory.NewReservation()}
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
	if call.info.HasTimeout && call.info.LastEventID == "" {
		call.age = g.patience.Observe(call.route.Name, call.info.Timeout)
	}
	call.deadline = call.arrived.Add(call.route.Timeout)
	if callerTimeout := call.info.Timeout; call.info.HasTimeout && callerTimeout < call.route.Timeout {
		call.deadline = call.arrived.Add(callerTimeout)
	}
	var failure *Failure
	call.body, failure = g.readBody(w, r, call)
	return call, failure
}

// resolve determines the route, account and service of a call. If the manifest may be out of
// date, the caller gets a retryable refusal instead of an error for an unknown route or key.
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
	if call.engine = call.manifest.Services[call.service].Engine; call.engine != nil {
		call.prompt = poison.NewPrompt(call.info.partIDs())
	}
	return nil
}

// pickService chooses the service of a request at random, weighted by the shares of its route.
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
			// Each line also has ": " and a line break.
			n += len(name) + len(value) + 4
		}
	}
	return n
}

// context returns the context of a call. It ends when the caller disconnects or at the deadline.
func (c *call) context(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(parent, steady.Until(c.deadline), errDeadline)
}

// DeadlineError reports that a request had no answer by its deadline.
type DeadlineError struct{}

func (*DeadlineError) Error() string { return "no answer by the deadline" }

var errDeadline = &DeadlineError{}
