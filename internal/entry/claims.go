package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/claim"
	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// unseenGrace is how long a claimed dispatch may stay unknown to its sidecar before it is
	// revoked.
	unseenGrace = time.Second
	// unseenPollInterval is the interval between state queries for such a dispatch.
	unseenPollInterval = 50 * time.Millisecond
	// logRetryAfter is the Retry-After sent to callers while the log is unavailable.
	logRetryAfter = 2 * time.Second
)

// needsClaim reports whether the call may run only if it wins the claim for its idempotency key.
func (c *call) needsClaim() bool { return !c.idempotent && c.idempotencyKey != "" }

// keyHash returns the hash that identifies the idempotency key in the claim stream. It is scoped
// to the client account and the route.
func (c *call) keyHash() []byte {
	return hashParts(c.account.GetName(), c.route.GetName(), c.idempotencyKey)
}

// fingerprint returns a hash of the request that detects the reuse of a key for another request.
func (c *call) fingerprint() []byte {
	return hashParts(c.method, c.path, string(c.body))
}

// hashParts hashes the digest of each part, so that part boundaries are unambiguous.
func hashParts(parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

// NoClaimLogError is returned for a call that needs a claim if no claim log is configured.
type NoClaimLogError struct{}

func (e *NoClaimLogError) Error() string {
	return "no claim log is configured for requests with an idempotency key"
}

// NoBootIDError is returned if the boot id of a sidecar can't be determined. A claim must contain
// the boot id, so none can be made.
type NoBootIDError struct{ Cause error }

func (e *NoBootIDError) Error() string { return "the sidecar did not report its boot id" }

// Unwrap returns the cause.
func (e *NoBootIDError) Unwrap() error { return e.Cause }

// claim claims the call's idempotency key for this attempt. If the claim wins, claim returns the
// slot with the boot id that the claim records. If another claim is in force, claim returns that
// claim and the attempt must not run.
func (e *Entry) claim(ctx context.Context, c *call, a *attempts, s slot) (slot, *configpb.Claim, error) {
	if e.options.Claims == nil {
		return s, nil, errors.WithStack(&NoClaimLogError{})
	}
	hash := c.keyHash()
	if existing, ok := e.options.Claims.Lookup(hash); ok && existing.GetDispatchId() != a.claimDispatchID {
		return s, existing, nil
	}
	bootID, err := e.bootID(ctx, s.target)
	if err != nil {
		var none *NoBootIDError
		if !errors.As(err, &none) {
			err = &NoBootIDError{Cause: err}
		}
		return s, nil, errors.WithStack(&UnreachableError{Cause: err})
	}
	s.bootID = bootID
	result, err := e.options.Claims.Claim(ctx, &configpb.Claim{
		KeyHash:        hash,
		Fingerprint:    c.fingerprint(),
		DispatchId:     s.dispatchID,
		SidecarAddress: s.target.Address,
		BootId:         s.bootID,
		BackendServer:  s.target.BackendServer,
		Previous:       a.claimDispatchID,
	})
	if err != nil {
		return s, nil, err
	}
	if !result.Won {
		return s, result.Holder, nil
	}
	a.claimDispatchID = s.dispatchID
	return s, nil, nil
}

// bootID returns the boot id of a sidecar from its last load report, or requests a new report. It
// returns *NoBootIDError if the report lacks the backend server, as after a restart of the sidecar
// with another one.
func (e *Entry) bootID(ctx context.Context, target routing.Target) (string, error) {
	if cached := e.table.BootID(target.BackendServer); cached != "" {
		return cached, nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request := &lanepb.LoadRequest{BackendServers: []string{target.BackendServer}}
	response, err := e.lanes.lane(target.Address).Loads(ctx, request)
	if err != nil {
		return "", err
	}
	for _, load := range response.GetLoads() {
		e.observe(load)
	}
	bootID := e.table.BootID(target.BackendServer)
	if bootID == "" {
		return "", errors.WithStack(&NoBootIDError{})
	}
	return bootID, nil
}

// relayHolderAnswer relays the answer of the dispatch that holds the call's idempotency key. It
// returns an error that wraps *RefusedError if that dispatch is barred; the key can then be
// claimed again. It returns *claim.FingerprintMismatchError if the key belongs to another request.
func (e *Entry) relayHolderAnswer(ctx context.Context, c *call, a *attempts, holder *configpb.Claim, r *relay) error {
	if string(holder.GetFingerprint()) != string(c.fingerprint()) {
		return errors.WithStack(&claim.FingerprintMismatchError{KeyHash: holder.GetKeyHash()})
	}
	a.claimDispatchID = holder.GetDispatchId()
	s := slot{
		target:     routing.Target{BackendServer: holder.GetBackendServer(), Address: holder.GetSidecarAddress()},
		dispatchID: holder.GetDispatchId(),
		bootID:     holder.GetBootId(),
	}
	stream := &answerStream{entry: e, slot: s, queryState: enquireHolder}
	defer stream.close()
	err := e.relayFrames(ctx, stream, r, nil)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = &AnswerLostError{Cause: ctx.Err()}
	}
	return errors.WithStack(&KeyHolderError{Cause: err})
}

// isHolderError reports whether an error concerns the attempt that holds the idempotency key, not
// this attempt.
func isHolderError(err error) bool {
	var holder *KeyHolderError
	return errors.As(err, &holder)
}

// enquireHolder returns the state of a dispatch of another attempt. If the sidecar has not seen
// the dispatch for unseenGrace, enquireHolder revokes it: the entry that claimed it has probably
// stopped before dispatching.
func enquireHolder(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error) {
	start := time.Now()
	for {
		state, err := e.enquire(ctx, s)
		if err != nil || state != lanepb.DispatchState_DISPATCH_STATE_NOT_SEEN {
			return state, err
		}
		if time.Since(start) > unseenGrace {
			return e.revoke(ctx, s)
		}
		select {
		case <-ctx.Done():
			return state, errors.WithStack(&UnreachableError{Cause: ctx.Err()})
		case <-time.After(unseenPollInterval):
		}
	}
}

// claimProblem returns the problem for a failed claim, or nil if err is not a claim error. Nothing
// was dispatched under a failed claim.
func claimProblem(err error) *Problem {
	var mismatch *claim.FingerprintMismatchError
	if errors.As(err, &mismatch) {
		return notRunProblem(KindKeyReused, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	}
	var unavailable *claim.LogUnavailableError
	var unknown *claim.ResultUnknownError
	var noLog *NoClaimLogError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) || errors.As(err, &noLog) {
		detail := "the log can't record the idempotency key now"
		return notRunProblem(KindLogUnavailable, http.StatusServiceUnavailable, detail).withRetryAfter(logRetryAfter)
	}
	return nil
}
