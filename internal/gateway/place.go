package gateway

import (
	"context"
	"math"
	"net"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/promptmemory"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// hedgeAfter is how long a request waits at one sidecar before it also queues at the next
	// one: a few times the usual round trip.
	hedgeAfter = 12 * time.Millisecond
	// maxOpenTickets limits the sidecars at which a request waits at the same time.
	maxOpenTickets = 4
	// maxTotalTickets limits the sidecars that a request is submitted to in total. Several are
	// needed because a refusal only reflects that sidecar's own queue.
	maxTotalTickets = 8
	// maxRefusals is the number of refusals after which no further sidecars are asked for a request
	// below the highest tier. The first ones are those with the shortest expected waits; one that
	// accepts after them only overestimates its prospects.
	maxRefusals = 4
	// reducedOpenTickets and reducedTotalTickets apply instead while the scheduling delay is
	// high, as every ticket costs processor time.
	reducedOpenTickets  = 2
	reducedTotalTickets = 3
)

// placement is the backend server chosen for a request, with the slot held there.
type placement struct {
	server  fleet.Server
	release func(admission.Outcome)
	// lease is the slot, or nil if none is held.
	lease *slots.Lease
}

// findServer chooses a backend server for a call, and waits for a slot if it has a sidecar.
func (g *Gateway) findServer(ctx context.Context, call *call, p *callProgress) (*placement, *Failure) {
	now := time.Now()
	defer func() { p.waited += time.Since(now) }()
	ready, failure := g.accepting(g.options.Directory.Ready(call.service, now))
	if failure != nil {
		return nil, failure
	}
	choice := g.options.Rollouts.Choose(call.service, call.route.Name, ready, p.sends > 0, now)
	if choice.Trial() {
		trialCtx, cancel := context.WithTimeout(ctx, choice.SlotWait)
		defer cancel()
		if placed, failure := g.findUntriedServer(trialCtx, call, p, choice.Preferred); failure == nil {
			return placed, nil
		}
		choice.Release()
		return g.findUntriedServer(ctx, call, p, choice.Fallback)
	}
	return g.findUntriedServer(ctx, call, p, choice.Preferred)
}

// findUntriedServer chooses one of the ready backend servers that the call hasn't been sent to.
func (g *Gateway) findUntriedServer(ctx context.Context, call *call, p *callProgress, ready []fleet.Server) (*placement, *Failure) {
	now := time.Now()
	list := g.servers.usable(ready, p.tried, now)
	if len(list) == 0 {
		return nil, unavailable(KindNoServer, defaultRetryAfter, "the service has no backend server that can be tried")
	}
	return g.findServerIn(ctx, call, list, placementOptions{streamStarted: p.relay.started})
}

// placementOptions describes the requirements on a placement.
type placementOptions struct {
	// streamStarted says that the caller has received the first events. The objective, which
	// applies to the first event, no longer limits the wait.
	streamStarted bool
	// requireSlot excludes engines for which no process grants slots.
	requireSlot bool
}

// findServerIn chooses a backend server from a list.
func (g *Gateway) findServerIn(ctx context.Context, call *call, list []fleet.Server, options placementOptions) (*placement, *Failure) {
	if call.engine != nil {
		return g.waitForSlot(ctx, call, list, options)
	}
	return g.findPlainServer(ctx, call, list, options)
}

// ticketResult is the result of one ticket.
type ticketResult struct {
	server fleet.Server
	lease  *slots.Lease
	err    error
}

// ticketSet holds the places of one call in the queues of several sidecars.
type ticketSet struct {
	gateway *Gateway
	call    *call
	cancel  context.CancelFunc
	ctx     context.Context
	results chan ticketResult
	// open counts the tickets without a result.
	open int
	// total counts the sidecars that the call was submitted to.
	total int
	// maxOpen and maxTotal limit open and total.
	maxOpen, maxTotal int
	options           placementOptions
	candidates        []candidate
	// claims holds what the memory of each engine is worth to the call, if it is worth anything.
	claims map[string]promptmemory.Claim
	// refusals counts the sidecars that expect no slot in time, rateLimited the refusals for the rate
	// limit of the engine.
	refusals, rateLimited int
	// retryAfter is the shortest delay that a sidecar returned.
	retryAfter    time.Duration
	refusalReason string
}

// waitForSlot queues a call at the sidecar of the best candidate and, while it waits, at further
// ones. It uses the first slot that is granted.
func (g *Gateway) waitForSlot(ctx context.Context, call *call, list []fleet.Server, options placementOptions) (*placement, *Failure) {
	t := &ticketSet{gateway: g, call: call, options: options, results: make(chan ticketResult, len(list)), candidates: g.servers.candidates(list, call, time.Now(), g.sidecarLost)}
	t.maxOpen, t.maxTotal = maxOpenTickets, maxTotalTickets
	for _, c := range t.candidates {
		if c.claim.Tokens > 0 {
			if t.claims == nil {
				t.claims = map[string]promptmemory.Claim{}
			}
			t.claims[c.server.ID] = c.claim
		}
	}
	if g.schedulingDelay() > reducedTicketsDelay {
		t.maxOpen, t.maxTotal = reducedOpenTickets, reducedTotalTickets
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.withdrawAll()
	for {
		if placed := t.submitNext(); placed != nil {
			return placed, nil
		}
		if t.open == 0 {
			return nil, t.noSlotFailure()
		}
		var hedge <-chan time.Time
		if t.open < t.maxOpen && len(t.candidates) > 0 {
			timer := time.NewTimer(hedgeAfter)
			defer timer.Stop()
			hedge = timer.C
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(KindNoSlot, defaultRetryAfter, "no slot before the end of the request")
		case <-hedge:
		case result := <-t.results:
			if placed := t.handleResult(result); placed != nil {
				return placed, nil
			}
		}
	}
}

// submitNext submits a ticket to the next candidate. An engine for which no process grants slots gets
// the request without a slot, up to maxDirectRequests; submitNext then returns that placement.
func (t *ticketSet) submitNext() *placement {
	for len(t.candidates) > 0 && t.open < t.maxOpen && t.total < t.maxTotal {
		next := t.candidates[0]
		t.candidates = t.candidates[1:]
		endpoint, ok := t.gateway.slotEndpoint(next.server)
		if !ok || next.noSlots {
			if t.options.requireSlot || t.open > 0 || !t.acquireDirect(next.server) {
				continue
			}
			return t.placeDirect(next.server)
		}
		t.open++
		t.total++
		t.gateway.servers.ticketSubmitted(next.server.ID)
		go t.submit(next.server, endpoint)
		return nil
	}
	return nil
}

// slotEndpoint returns where the slots of an engine are granted: at its sidecar or, if that is lost,
// at its deputy. It reports false if there is neither.
func (g *Gateway) slotEndpoint(server fleet.Server) (slots.Endpoint, bool) {
	if !g.sidecarLost(server) {
		return slots.Endpoint{Address: g.options.SidecarAddress(server), Engine: server.ID}, true
	}
	if g.options.DeputyAddress == nil {
		return slots.Endpoint{}, false
	}
	address := g.options.DeputyAddress(server.ID)
	return slots.Endpoint{Address: address, Engine: server.ID, Deputy: true}, address != ""
}

// sidecarLost reports whether an engine has no sidecar or one that doesn't answer.
func (g *Gateway) sidecarLost(server fleet.Server) bool {
	address := g.options.SidecarAddress(server)
	return address == "" || g.options.Slots.Lost(address)
}

func (t *ticketSet) placeDirect(server fleet.Server) *placement {
	t.gateway.logger.Info().Str("request_id", t.call.info.ID).Str("backend_server", server.ID).Str("outcome", "direct").Msg("placement")
	t.gateway.metrics.recordPlacement("direct")
	end := t.gateway.options.Slots.BeginDirect(server.ID)
	return &placement{server: server, release: func(admission.Outcome) {
		end()
		t.gateway.servers.releaseDirect(server.ID)
	}}
}

func (t *ticketSet) submit(server fleet.Server, endpoint slots.Endpoint) {
	call := t.call
	engine := fleet.Engine{}
	if call.engine != nil {
		engine = *call.engine
	}
	coldRate, coldLeft := t.gateway.coldLimit(server)
	lease, err := t.gateway.options.Slots.Acquire(t.ctx, endpoint, slots.Request{
		RequestID:     call.info.ID,
		Account:       call.accountName(),
		Rank:          uint32(max(call.rank(), 0)),
		BudgetMS:      steady.Until(call.deadline).Milliseconds(),
		ObjectiveMS:   call.objectiveLeft().Milliseconds(),
		HasObjective:  call.route.Objective > 0 && !t.options.streamStarted,
		LateHoldMS:    call.lateHold().Milliseconds(),
		AgeMS:         call.age.Milliseconds(),
		MaxEventGapMS: call.route.MaxEventGap.Milliseconds(),
		PromptTokens:  call.info.PromptTokens,
		OutputTokens:  call.outputTokens(),
		Slots:         max(server.Slots, engine.Slots),
		MemoryTokens:  engine.MemoryTokens,
		Server:        server.Incarnation(),
		RateLimit:     t.gateway.options.Backpressure.LimitReport(server.Incarnation()),
		ColdRate:      coldRate,
		ColdLeftMS:    coldLeft.Milliseconds(),
	}, func(load admission.SlotLoad) { t.gateway.servers.recordSlotLoad(server.ID, load) })
	t.results <- ticketResult{server: server, lease: lease, err: err}
}

// handleResult processes the result of a ticket. It returns a placement if a slot was granted on
// an engine that is still usable.
func (t *ticketSet) handleResult(result ticketResult) *placement {
	t.open--
	var refused *slots.RefusedError
	var unreachable *slots.UnreachableError
	switch {
	case errors.As(result.err, &refused) && refused.Reason == slots.ReasonNotResponsible:
		t.candidates = append(t.candidates, candidate{server: result.server, noSlots: true})
		// The process that refused may have reached one that is lost for this one.
		t.gateway.options.Slots.RecheckLost()
		return nil
	case errors.As(result.err, &refused) && refused.RateLimit != nil:
		t.gateway.servers.recordSlotLoad(result.server.ID, refused.Load)
		t.recordRateLimited(refused.Explain(), refused.RetryAfter)
		return nil
	case errors.As(result.err, &refused):
		t.gateway.servers.recordSlotLoad(result.server.ID, refused.Load)
		t.refusalReason = refused.Reason
		if refused.Reason == admission.ReasonDeadline.String() && !t.options.streamStarted && t.call.objectiveLeft() <= 0 {
			// The objective has passed, so all other sidecars would refuse too.
			t.candidates = nil
		}
		if t.refusals++; t.refusals >= maxRefusals && t.call.route.Rank > 0 && !t.options.streamStarted {
			t.candidates = nil
		}
		t.recordRetryAfter(refused.RetryAfter)
		return nil
	case errors.As(result.err, &unreachable):
		t.gateway.limitedLogger.Info().Str("request_id", t.call.info.ID).Str("backend_server", result.server.ID).Err(result.err).Str("outcome", "unreachable").Msg("slot")
		t.candidates = append(t.candidates, candidate{server: result.server})
		return nil
	case result.err != nil:
		// The request has ended; its log line states the reason.
		return nil
	}
	if !t.gateway.stillUsable(result.server) {
		result.lease.Abandon()
		t.refusalReason = "no longer usable"
		return nil
	}
	t.gateway.servers.recordSlotLoad(result.server.ID, result.lease.Load)
	t.gateway.metrics.recordPlacement(result.lease.GrantedBy())
	t.gateway.metrics.recordClaim(t.claims, result.server.ID)
	if !result.lease.ByDeputy() {
		t.gateway.options.Backpressure.RecordSidecarGrant(result.server.Incarnation())
	}
	return t.gateway.leasedPlacement(result.server, result.lease)
}

func (g *Gateway) leasedPlacement(server fleet.Server, lease *slots.Lease) *placement {
	return &placement{server: server, lease: lease, release: func(outcome admission.Outcome) {
		g.servers.adjustLeased(server.ID, -1)
		lease.Finish(outcome)
	}}
}

// withdrawAll withdraws the open tickets, and releases slots that are granted nevertheless.
func (t *ticketSet) withdrawAll() {
	t.cancel()
	if t.open == 0 {
		return
	}
	open := t.open
	go func() {
		for range open {
			if result := <-t.results; result.lease != nil {
				result.lease.Abandon()
			}
		}
	}()
}

func (t *ticketSet) noSlotFailure() *Failure {
	retryAfter := t.retryAfter
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	kind := KindNoSlot
	if t.rateLimited > 0 && t.refusals == 0 {
		kind = KindRateLimited
	}
	return unavailable(kind, retryAfter, "no engine has a slot in time: "+t.refusalReason)
}

// recordRetryAfter keeps the shortest delay that was returned.
func (t *ticketSet) recordRetryAfter(delay time.Duration) {
	if t.retryAfter == 0 || delay < t.retryAfter {
		t.retryAfter = delay
	}
}

// sortCandidates puts engines with a free slot first, then the others, and silent engines last. Within a class it sorts
// by expected wait. An engine without a free slot is in the first class if what it holds of the prompt saves more than
// the wait for a slot.
func sortCandidates(all []candidate) {
	shortestFree := math.Inf(1)
	for _, c := range all {
		if c.slotFree && !c.silent {
			shortestFree = min(shortestFree, c.wait)
		}
	}
	class := func(c candidate) int {
		switch {
		case c.silent:
			return 2
		case c.slotFree, c.claim.Seconds > 0 && c.wait < shortestFree:
			return 0
		}
		return 1
	}
	sort.SliceStable(all, func(i, j int) bool {
		if a, b := class(all[i]), class(all[j]); a != b {
			return a < b
		}
		return all[i].wait < all[j].wait
	})
}

// SidecarAddress returns a function that returns the address of an engine's sidecar, or "" if the
// service has none. Sidecars listen on the engine's host, on the same port everywhere.
func SidecarAddress(port string, manifest *fleet.Holder) func(fleet.Server) string {
	return func(server fleet.Server) string {
		if m, _ := manifest.Current(); m != nil && m.Services[server.Service] != nil && m.Services[server.Service].Engine == nil {
			return ""
		}
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, port)
	}
}
