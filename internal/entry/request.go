package entry

import (
	"net/http"
	"os"
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

// Names of the headers in the callers' requests and responses.
const (
	headerTier           = "X-Lagoonlane-Tier"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotent     = "X-Lagoonlane-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Lagoonlane-Request-Id"
)

const (
	// maxHeaderBytes is the maximum size of the headers of a caller's request.
	maxHeaderBytes = 32 << 10
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// defaultMaxBodyBytes is the body limit of a route that configures none.
	defaultMaxBodyBytes = 8 << 20
	// bodyBaseTime and minBodyRate, in bytes a second, bound the time in which a body comes.
	bodyBaseTime = 10 * time.Second
	minBodyRate  = 16 << 10
	// memoryRetryAfter is the Retry-After of requests rejected for lack of memory. It is short
	// because the load balancer routes the retry to another entry.
	memoryRetryAfter = 200 * time.Millisecond
	// defaultTimeout applies if neither the request nor the tier sets a timeout.
	defaultTimeout = 60 * time.Second
	// defaultMaxTimeout is the largest timeout on a route that configures none.
	defaultMaxTimeout = 10 * time.Minute
	minTimeout        = time.Millisecond
)

// call is one validated request of a caller.
type call struct {
	id      string
	account *configpb.ClientAccount
	tier    *configpb.Tier
	route   *configpb.Route
	// state is the configuration that the request was validated against.
	state      *configpb.State
	started    time.Time
	deadline   time.Time
	idempotent bool
	// idempotencyKey is the caller's idempotency key, or empty.
	idempotencyKey string
	method         string
	path           string
	headers        []*lanepb.Header
	body           []byte
	// stream is set if the caller requested server-sent events.
	stream       bool
	promptTokens uint32
	outputTokens uint32
	// prefixHashes are the hashes of the leading blocks of the prompt.
	prefixHashes []uint64
}

// forEngine reports whether the call is for a model engine.
func (c *call) forEngine() bool {
	return c.route.GetKind() == configpb.BackendKind_BACKEND_KIND_ENGINE
}

// incompleteOutcome returns the outcome of the call if it may have run but has no answer.
func (c *call) incompleteOutcome() Outcome {
	if c.idempotent {
		return OutcomeFailed
	}
	return OutcomeUnknown
}

// newCall validates the parts of a request that don't depend on its route: header size, account,
// tier and idempotency key.
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
	idempotencyKey := r.Header.Get(headerIdempotencyKey)
	if len(idempotencyKey) > maxIdempotencyKeyBytes {
		return nil, notRunProblem(KindMalformed, http.StatusBadRequest, "the idempotency key is longer than "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes")
	}
	return &call{
		id:             uuid.NewString(),
		account:        account,
		tier:           tier,
		state:          state,
		started:        time.Now(),
		idempotencyKey: idempotencyKey,
		method:         r.Method,
	}, nil
}

// headerBytes returns the total size of the header names and values.
func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
		}
	}
	return total
}

// chooseTier returns the requested tier, or the account's first tier if none is requested. It
// returns a problem if the account may not use the tier.
func chooseTier(state *configpb.State, account *configpb.ClientAccount, requested string) (*configpb.Tier, *Problem) {
	name := requested
	if name == "" && len(account.GetTiers()) > 0 {
		name = account.GetTiers()[0]
	}
	tier := state.GetTiers()[name]
	if tier == nil || !slices.Contains(account.GetTiers(), name) {
		return nil, notRunProblem(KindTierNotAllowed, http.StatusForbidden, "the client account may not use the tier "+strconv.Quote(name))
	}
	return tier, nil
}

// setRoute sets the route and derives the deadline and idempotency of the call from it. It returns
// a problem if the account may not use the route or a header is invalid.
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

// chooseTimeout returns the requested timeout if it is within the route's maximum, or else the
// default of the tier limited to that maximum.
func chooseTimeout(tier *configpb.Tier, route *configpb.Route, requested string) (time.Duration, *Problem) {
	maxTimeout := time.Duration(route.GetMaxTimeoutMs()) * time.Millisecond
	if maxTimeout == 0 {
		maxTimeout = defaultMaxTimeout
	}
	if requested == "" {
		timeout := time.Duration(tier.GetDefaultTimeoutMs()) * time.Millisecond
		if timeout == 0 {
			timeout = defaultTimeout
		}
		return min(timeout, maxTimeout), nil
	}
	timeout, err := time.ParseDuration(requested)
	if err != nil || timeout < minTimeout || timeout > maxTimeout {
		return 0, notRunProblem(KindBadTimeout, http.StatusBadRequest,
			"the header "+headerTimeout+" must be a duration such as \"8s\", from "+minTimeout.String()+" to "+maxTimeout.String())
	}
	return timeout, nil
}

// readBody reads a body of at most limit bytes and accounts its memory to the reservation. A limit
// of 0 means defaultMaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request, limit uint64, reservation *membudget.Reservation) ([]byte, *Problem) {
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	tooLarge := notRunProblem(KindBodyTooLarge, http.StatusRequestEntityTooLarge,
		"the body is larger than "+strconv.FormatUint(limit, 10)+" bytes")
	if r.ContentLength > 0 && uint64(r.ContentLength) > limit {
		return nil, tooLarge
	}
	expected := limit
	if r.ContentLength > 0 {
		expected = uint64(r.ContentLength)
	}
	// Errors are ignored: a connection that is closed reports it to the read, and one that has no deadlines isn't a
	// caller's. After an incomplete body the deadline stays, so that net/http doesn't wait for the rest.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyBaseTime + time.Duration(expected/minBodyRate)*time.Second))
	reader := http.MaxBytesReader(w, r.Body, int64(limit))
	body, err := reservation.ReadAll(reader, r.ContentLength, 0)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLong *http.MaxBytesError
	var exhausted *membudget.ExhaustedError
	if errors.As(err, &tooLong) {
		return nil, tooLarge
	}
	if errors.As(err, &exhausted) {
		return nil, notRunProblem(KindShed, http.StatusServiceUnavailable, "this entry is short of memory for the body").withRetryAfter(memoryRetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, notRunProblem(KindBodyTooSlow, http.StatusRequestTimeout, "the body came too slowly")
	}
	if err != nil {
		return nil, notRunProblem(KindMalformed, http.StatusBadRequest, "the body could not be read")
	}
	return body, nil
}

// strippedHeaders are the hop-by-hop headers and the headers that the entry consumes. They are not
// forwarded in either direction.
var strippedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Host": true, "Expect": true, "Accept-Encoding": true,
	headerTier: true, headerTimeout: true, headerIdempotent: true, "Cookie": true,
}

// forwardHeaders returns the headers that are forwarded to the backend server. It also omits the
// headers that Connection lists.
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
