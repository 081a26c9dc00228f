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
	// unseenGrace is how long a claimed dispatch that its sidecar has not seen
	// is waited for before it is barred.
	unseenGrace = time.Second
	// unseenPollInterval is the time between two questions about such a dispatch.
	unseenPollInterval = 50 * time.Millisecond
	// logRetryAfter is when a caller should come back in an outage of the log.
	logRetryAfter = 2 * time.Second
)

// needsClaim reports whether the call's idempotency key decides if it may run.
func (c *call) needsClaim() bool { return !c.idempotent && c.key != "" }

// keyHash names the key in the claim stream.
func (c *call) keyHash() []byte {
	return hashParts(c.account.GetName(), c.route.GetName(), c.key)
}

// fingerprint tells two requests with the same key apart.
func (c *call) fingerprint() []byte {
	return hashParts(c.method, c.path, string(c.body))
}

func hashParts(parts ...string) []byte {
	hash := sha256.New()
	for _, part := range parts {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

// NoClaimLogError says that the entry has no claim stream.
type NoClaimLogError struct{}

func (e *NoClaimLogError) Error() string {
	return "requests with an idempotency key need the claim stream"
}

// NoBootIDError says that a sidecar's boot id is not known, so that no claim can name it.
type NoBootIDError struct{ Cause error }

func (e *NoBootIDError) Error() string { return "the sidecar did not say its boot id" }

// Unwrap returns the cause.
func (e *NoBootIDError) Unwrap() error { return e.Cause }

// claim makes this attempt the one that may run. It returns the slot with the
// boot id that the claim names, or the claim that is in force instead.
func (e *Entry) claim(ctx context.Context, one *call, a *attempts, s slot) (slot, *configpb.Claim, error) {
	if e.options.Claims == nil {
		return s, nil, errors.WithStack(&NoClaimLogError{})
	}
	hash := one.keyHash()
	if held, ok := e.options.Claims.Lookup(hash); ok && held.GetDispatchId() != a.claimDispatchID {
		return s, held, nil
	}
	bootID, err := e.bootID(ctx, s.target)
	if err != nil {
		return s, nil, errors.WithStack(&UnreachableError{Cause: &NoBootIDError{Cause: err}})
	}
	s.bootID = bootID
	result, err := e.options.Claims.Claim(ctx, &configpb.Claim{
		KeyHash:        hash,
		Fingerprint:    one.fingerprint(),
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

// bootID returns the boot id of a sidecar, from its last report or from itself.
func (e *Entry) bootID(ctx context.Context, target routing.Target) (string, error) {
	if known := e.table.BootID(target.BackendServer); known != "" {
		return known, nil
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
	return e.table.BootID(target.BackendServer), nil
}

// relayHolderAnswer answers the call with the answer of the claim in force. It fails
// with *RefusedError when that claim's dispatch is barred: the call may then
// be claimed anew.
func (e *Entry) relayHolderAnswer(ctx context.Context, one *call, a *attempts, held *configpb.Claim, r *relay) error {
	if string(held.GetFingerprint()) != string(one.fingerprint()) {
		return errors.WithStack(&claim.FingerprintMismatchError{KeyHash: held.GetKeyHash()})
	}
	a.claimDispatchID = held.GetDispatchId()
	s := slot{
		target:     routing.Target{BackendServer: held.GetBackendServer(), Address: held.GetSidecarAddress()},
		dispatchID: held.GetDispatchId(),
		bootID:     held.GetBootId(),
	}
	stream := &answerStream{entry: e, slot: s, queryState: enquireHolder}
	defer stream.close()
	err := e.relayFrames(ctx, stream, r, nil)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = &LostError{Cause: ctx.Err()}
	}
	return errors.WithStack(&HolderError{Cause: err})
}

// isHolderError reports whether an error is of the attempt that holds the key.
func isHolderError(err error) bool {
	var holder *HolderError
	return errors.As(err, &holder)
}

// enquireHolder finds the state of a dispatch of another attempt. It bars one that
// its sidecar has not seen for a while: whoever claimed it is gone.
func enquireHolder(ctx context.Context, e *Entry, s slot) (lanepb.DispatchState, error) {
	began := time.Now()
	for {
		state, err := e.enquire(ctx, s)
		if err != nil || state != lanepb.DispatchState_DISPATCH_STATE_NOT_SEEN {
			return state, err
		}
		if time.Since(began) > unseenGrace {
			return e.revoke(ctx, s)
		}
		select {
		case <-ctx.Done():
			return state, errors.WithStack(&UnreachableError{Cause: ctx.Err()})
		case <-time.After(unseenPollInterval):
		}
	}
}

// claimProblem returns the problem of a claim that failed, or nil. Nothing was
// dispatched under such a claim.
func claimProblem(err error) *Problem {
	var mismatch *claim.FingerprintMismatchError
	if errors.As(err, &mismatch) {
		return notRunProblem(KindKeyReused, http.StatusUnprocessableEntity, "the idempotency key was used for another request")
	}
	var unavailable *claim.LogUnavailableError
	var unknown *claim.ResultUnknownError
	var none *NoClaimLogError
	if errors.As(err, &unavailable) || errors.As(err, &unknown) || errors.As(err, &none) {
		detail := "the log can't record the idempotency key now"
		return notRunProblem(KindLogUnavailable, http.StatusServiceUnavailable, detail).withRetryAfter(logRetryAfter)
	}
	return nil
}
