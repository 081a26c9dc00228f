package sidecar

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// grantLifetime is how long a grant is valid: the dispatch must arrive within this time.
	grantLifetime = 2 * time.Second
	// versionRetryAfter is the retry delay sent with a refusal of a version.
	versionRetryAfter = time.Second
)

// Reserve blocks until a dispatch slot is granted or the request is refused. When ctx ends,
// the request is removed from the queue, its dispatch id is barred and Reserve returns a
// Canceled error.
func (s *Sidecar) Reserve(ctx context.Context, request *lanepb.ReserveRequest) (*lanepb.ReserveResponse, error) {
	if request.GetDispatchId() == "" {
		return nil, twirp.RequiredArgumentError("dispatch_id")
	}
	target := s.servers[request.GetBackendServer()]
	if target == nil {
		return s.refusal(nil, lanepb.RefusalReason_REFUSAL_REASON_UNKNOWN_BACKEND_SERVER, 0), nil
	}
	if reason, ok := s.checkQueueable(ctx, target, request); !ok {
		return s.refusal(target, reason, max(versionRetryAfter, target.health.pauseLeft(time.Now()))), nil
	}
	capped := s.isCapped(target, request)
	if capped && !target.share.spendCredit(request.GetRoute()) {
		return s.refusal(target, lanepb.RefusalReason_REFUSAL_REASON_VERSION, versionRetryAfter), nil
	}
	d := newDispatch(target, request, time.Now())
	d.capped = capped
	if !s.table.add(d) {
		s.updateShareCredit(d, false)
		return s.refusal(target, lanepb.RefusalReason_REFUSAL_REASON_BARRED, 0), nil
	}
	response, err := s.awaitDecision(ctx, d)
	s.updateShareCredit(d, response.GetGrant() != nil)
	return response, err
}

// newDispatch returns a dispatch in phaseWaiting with a queue ticket for a request.
func newDispatch(target *server, request *lanepb.ReserveRequest, now time.Time) *dispatch {
	d := &dispatch{
		id:              request.GetDispatchId(),
		idempotent:      request.GetIdempotent(),
		server:          target,
		request:         request,
		deadline:        now.Add(time.Duration(request.GetBudgetMs()) * time.Millisecond),
		startedOrBarred: make(chan struct{}),
	}
	d.ticket = target.queue.NewTicket(now, admission.Request{
		ID:           d.id,
		Account:      request.GetAccount(),
		Weight:       request.GetAccountWeight(),
		Rank:         request.GetTierRank(),
		Deadline:     d.deadline,
		Route:        request.GetRoute(),
		Version:      request.GetVersion(),
		PromptTokens: request.GetPromptTokens(),
		OutputTokens: request.GetOutputTokens(),
		Prefixes:     request.GetPrefixes(),
	})
	return d
}

// checkQueueable checks the conditions that don't depend on the queue: boot id, health and
// version. It returns the reason of a refusal, and whether the request may be queued.
func (s *Sidecar) checkQueueable(ctx context.Context, target *server, request *lanepb.ReserveRequest) (lanepb.RefusalReason, bool) {
	if boot := request.GetBootId(); boot != "" && boot != s.bootID {
		return lanepb.RefusalReason_REFUSAL_REASON_BOOT_MISMATCH, false
	}
	if !target.health.healthy(time.Now()) {
		return lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY, false
	}
	version := request.GetVersion()
	if !s.servesVersion(ctx, target, version) || s.isContained(target.Pool, version, request.GetRoute()) || s.isOutdated(target, request) {
		return lanepb.RefusalReason_REFUSAL_REASON_VERSION, false
	}
	return 0, true
}

// awaitDecision submits a dispatch to the queue and waits for its grant or refusal. While queued,
// the ticket is rechecked at the times that the queue returns.
func (s *Sidecar) awaitDecision(ctx context.Context, d *dispatch) (*lanepb.ReserveResponse, error) {
	queue, queuedAt := d.server.queue, time.Now()
	queue.Submit(queuedAt, d.ticket)
	recheck := time.NewTimer(0)
	defer recheck.Stop()
	for {
		select {
		case <-d.ticket.Decided():
			s.metrics.recordQueueTime(d, time.Since(queuedAt))
			return s.decisionResponse(d), nil
		case <-ctx.Done():
			s.withdraw(d)
			return nil, twirp.NewError(twirp.Canceled, "the caller withdrew the request")
		case <-recheck.C:
			if next, queued := queue.Recheck(time.Now(), d.ticket); queued {
				recheck.Reset(next)
			}
		}
	}
}

// decisionResponse converts the queue's decision into a response. A grant expires after
// grantLifetime.
func (s *Sidecar) decisionResponse(d *dispatch) *lanepb.ReserveResponse {
	now := time.Now()
	if refused := d.ticket.Refusal(); refused != nil {
		s.table.bar(d, now)
		return s.queueRefusal(d.server, refused)
	}
	if !s.table.markGranted(d, now.Add(grantLifetime)) {
		d.server.queue.Withdraw(now, d.ticket)
		return s.refusal(d.server, lanepb.RefusalReason_REFUSAL_REASON_BARRED, 0)
	}
	time.AfterFunc(grantLifetime+time.Millisecond, func() { s.withdraw(d) })
	return &lanepb.ReserveResponse{
		Result: &lanepb.ReserveResponse_Grant{Grant: &lanepb.Grant{
			DispatchId: d.id,
			BootId:     s.bootID,
			ValidMs:    uint32(grantLifetime / time.Millisecond),
		}},
		Load:         s.load(d.server),
		ConfigOffset: s.config.Current().GetOffset(),
	}
}

// withdraw bars a dispatch that hasn't been started and releases its slot or its place in
// the queue.
func (s *Sidecar) withdraw(d *dispatch) {
	now := time.Now()
	if s.table.bar(d, now) {
		d.server.queue.Withdraw(now, d.ticket)
	}
}

// queueRefusal returns the response for a refusal by the queue.
func (s *Sidecar) queueRefusal(target *server, refused *admission.RefusedError) *lanepb.ReserveResponse {
	response := s.refusal(target, refusalReason(refused.Reason), refused.RetryAfter)
	response.GetRefusal().FloorRank = refused.FloorRank
	response.GetRefusal().Detail = refused.Error()
	return response
}

// refusal returns a refusal and counts it. target is nil for an unknown backend server.
func (s *Sidecar) refusal(target *server, reason lanepb.RefusalReason, retryAfter time.Duration) *lanepb.ReserveResponse {
	response := &lanepb.ReserveResponse{
		Result: &lanepb.ReserveResponse_Refusal{Refusal: &lanepb.Refusal{
			Reason:       reason,
			RetryAfterMs: uint32(retryAfter / time.Millisecond),
			FloorRank:    admission.MaxRank,
		}},
		ConfigOffset: s.config.Current().GetOffset(),
	}
	if target != nil {
		response.Load = s.load(target)
		s.metrics.countRefusal(target.ID, reason)
	}
	return response
}

// refusalReason converts the queue's reason of a refusal.
func refusalReason(reason admission.Reason) lanepb.RefusalReason {
	switch reason {
	case admission.ReasonShed:
		return lanepb.RefusalReason_REFUSAL_REASON_SHED
	case admission.ReasonDeadline:
		return lanepb.RefusalReason_REFUSAL_REASON_DEADLINE
	case admission.ReasonDraining:
		return lanepb.RefusalReason_REFUSAL_REASON_DRAINING
	case admission.ReasonVersion:
		return lanepb.RefusalReason_REFUSAL_REASON_VERSION
	case admission.ReasonUnhealthy:
		return lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY
	case admission.ReasonBarred:
		return lanepb.RefusalReason_REFUSAL_REASON_BARRED
	}
	return lanepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED
}
