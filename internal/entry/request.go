package entry

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Headers of callers.
const (
	headerTier           = "X-Lagoonlane-Tier"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotent     = "X-Lagoonlane-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Lagoonlane-Request-Id"
)

const (
	// maxHeaderBytes bounds the header of a caller's request.
	maxHeaderBytes = 32 << 10
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// defaultMaxBodyBytes bounds the body on a route that names no bound.
	defaultMaxBodyBytes = 8 << 20
	// memoryRetryAfter is told to a caller whose body an entry has no memory for: the
	// balancer sends it to another one.
	memoryRetryAfter = 200 * time.Millisecond
	// defaultTimeout is the deadline where neither tier nor route names one.
	defaultTimeout = 60 * time.Second
	// defaultMaxTimeout bounds the deadline on a route that names no bound.
	defaultMaxTimeout = 10 * time.Minute
	minTimeout        = time.Millisecond
)

// call is one checked request of a caller.
type call struct {
	id      string
	account *configpb.ClientAccount
	tier    *configpb.Tier
	route   *configpb.Route
	// state is the configuration that the request was checked against.
	state      *configpb.State
	started    time.Time
	deadline   time.Time
	idempotent bool
	// key is the caller's idempotency key; empty: none.
	key     string
	method  string
	path    string
	headers []*lanepb.Header
	body    []byte
	// stream is true for an answer by server-sent events.
	stream       bool
	promptTokens uint32
	outputTokens uint32
	// prefixHashes name the leading parts of the prompt.
	prefixHashes []uint64
}

// forEngine reports whether the call is for a model engine.
func (c *call) forEngine() bool {
	return c.route.GetKind() == configpb.BackendKind_BACKEND_KIND_ENGINE
}

// lostOutcome is the outcome of a call that may have run.
func (c *call) lostOutcome() Outcome {
	if c.idempotent {
		return OutcomeFailed
	}
	return OutcomeUnknown
}

// newCall checks what all requests have in common but the route.
func (e *Entry) newCall(r *http.Request) (*call, *Problem) {
	if headerBytes(r.Header) > maxHeaderBytes {
		return nil, notRunProblem(KindHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge,
			"the header is larger than "+strconv.Itoa(maxHeaderBytes)+" bytes")
	}
	state := e.options.Config.Current()
	account, problem := e.authenticate(state, r)
	if problem != nil {
		return nil, problem
	}
	tier, problem := chooseTier(state, account, r.Header.Get(headerTier))
	if problem != nil {
		return nil, problem
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, notRunProblem(KindMalformed, http.StatusBadRequest, "the idempotency key is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	return &call{
		id:      uuid.NewString(),
		account: account,
		tier:    tier,
		state:   state,
		started: time.Now(),
		key:     key,
		method:  r.Method,
	}, nil
}

func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// chooseTier returns the tier that is asked for, or the account's default.
func chooseTier(state *configpb.State, account *configpb.ClientAccount, asked string) (*configpb.Tier, *Problem) {
	name := asked
	if name == "" && len(account.GetTiers()) > 0 {
		name = account.GetTiers()[0]
	}
	tier := state.GetTiers()[name]
	if tier == nil || !slices.Contains(account.GetTiers(), name) {
		return nil, notRunProblem(KindTier, http.StatusForbidden, "the client account may not use the tier "+strconv.Quote(name))
	}
	return tier, nil
}

// setRoute completes the call with what the route says.
func (c *call) setRoute(route *configpb.Route, r *http.Request) *Problem {
	c.route = route
	allowed := route.GetAccounts()
	if len(allowed) > 0 && !slices.Contains(allowed, c.account.GetName()) {
		return notRunProblem(KindForbidden, http.StatusForbidden, "the client account may not use the route "+strconv.Quote(route.GetName()))
	}
	timeout, problem := chooseTimeout(c.tier, route, r.Header.Get(headerTimeout))
	if problem != nil {
		return problem
	}
	c.deadline = c.started.Add(timeout)
	switch value := r.Header.Get(headerIdempotent); value {
	case "":
	case "true", "false":
		c.idempotent = c.idempotent && value == "true"
	default:
		return notRunProblem(KindMalformed, http.StatusBadRequest, "the header "+headerIdempotent+" must be true or false")
	}
	return nil
}

func chooseTimeout(tier *configpb.Tier, route *configpb.Route, asked string) (time.Duration, *Problem) {
	bound := time.Duration(route.GetMaxTimeoutMs()) * time.Millisecond
	if bound == 0 {
		bound = defaultMaxTimeout
	}
	if asked == "" {
		timeout := time.Duration(tier.GetDefaultTimeoutMs()) * time.Millisecond
		if timeout == 0 {
			timeout = defaultTimeout
		}
		return min(timeout, bound), nil
	}
	timeout, err := time.ParseDuration(asked)
	if err != nil || timeout < minTimeout || timeout > bound {
		return 0, notRunProblem(KindTimeout, http.StatusBadRequest,
			"the header "+headerTimeout+" must be a duration such as \"8s\", from "+minTimeout.String()+" to "+bound.String())
	}
	return timeout, nil
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit uint64, hold *membudget.Hold) ([]byte, *Problem) {
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	tooLarge := notRunProblem(KindTooLarge, http.StatusRequestEntityTooLarge,
		"the body is larger than "+strconv.FormatUint(limit, 10)+" bytes")
	if r.ContentLength > 0 && uint64(r.ContentLength) > limit {
		return nil, tooLarge
	}
	reader := http.MaxBytesReader(w, r.Body, int64(limit))
	body, err := hold.ReadAll(reader, r.ContentLength, 0)
	var over *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	if errors.As(err, &over) {
		return nil, tooLarge
	}
	if errors.As(err, &exhausted) {
		return nil, notRunProblem(KindShed, http.StatusServiceUnavailable, "this entry is short of memory for the body").withRetryAfter(memoryRetryAfter)
	}
	if err != nil {
		return nil, notRunProblem(KindMalformed, http.StatusBadRequest, "the body could not be read")
	}
	return body, nil
}

// strippedHeaders are the headers of one connection, and those that end at the entry.
var strippedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true, "Accept-Encoding": true,
	headerTier: true, headerTimeout: true, headerIdempotent: true, "Cookie": true,
}

// forwardHeaders returns the headers that a backend server gets.
func forwardHeaders(header http.Header) []*lanepb.Header {
	var dropped []string
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped = append(dropped, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	var forwarded []*lanepb.Header
	for name, values := range header {
		if strippedHeaders[name] || slices.Contains(dropped, name) {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &lanepb.Header{Name: name, Value: value})
		}
	}
	return forwarded
}
