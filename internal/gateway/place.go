package gateway

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/slots"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// hedgeAfter is how long a request waits at one sidecar before it also queues at
	// the next one: some times the way there and back.
	hedgeAfter = 12 * time.Millisecond
	// maxTickets bounds the sidecars at which a request waits at the same time.
	maxTickets = 4
	// maxAsks bounds the sidecars that are asked for one slot in all: one that refuses
	// knows its own queue only.
	maxAsks = 8
	// leanTickets and leanAsks are the same for a process that is late: each ticket costs
	// processor time.
	leanTickets = 2
	leanAsks    = 3
)

// placement is the backend server that a request goes to, and the slot it holds there.
type placement struct {
	server  fleet.Server
	release func(admission.Outcome)
}

// place finds a backend server for a call, and waits for a slot where there are slots.
func (g *Gateway) place(ctx context.Context, one *call, p *progress) (*placement, *Failure) {
	now := time.Now()
	defer func() { p.waited += time.Since(now) }()
	ready := g.options.Directory.Ready(one.service, now)
	choice := g.options.Rollouts.Choose(one.service, one.route.Name, ready, p.sends > 0, now)
	if choice.Trial() {
		bounded, cancel := context.WithTimeout(ctx, choice.SlotWait)
		defer cancel()
		if at, failure := g.placeAmong(bounded, one, p, choice.Preferred); failure == nil {
			return at, nil
		}
		choice.Release()
		return g.placeAmong(ctx, one, p, choice.Fallback)
	}
	return g.placeAmong(ctx, one, p, choice.Preferred)
}

// placeAmong finds a backend server among some.
func (g *Gateway) placeAmong(ctx context.Context, one *call, p *progress, ready []fleet.Server) (*placement, *Failure) {
	now := time.Now()
	list := g.servers.usable(ready, p.tried, now)
	if len(list) == 0 {
		return nil, unavailable(KindNoServer, defaultRetryAfter, "the service has no backend server that can be tried")
	}
	return g.placeAt(ctx, one, list, placeTerms{begun: p.relay.started})
}

// placeTerms say what a place is for.
type placeTerms struct {
	// begun says that the caller has the first events: the objective, which is for the
	// first one, no longer bounds the wait.
	begun bool
	// granted excludes engines whose sidecar is silent: there is no slot to be sure of.
	granted bool
}

// placeAt finds a place at one of the backend servers of a list.
func (g *Gateway) placeAt(ctx context.Context, one *call, list []fleet.Server, terms placeTerms) (*placement, *Failure) {
	if one.engine != nil {
		return g.placeAtEngine(ctx, one, list, terms)
	}
	server := g.servers.leastLoaded(list, time.Now())
	return &placement{server: server, release: func(admission.Outcome) {}}, nil
}

// ticketResult is the end of one ticket.
type ticketResult struct {
	server fleet.Server
	lease  *slots.Lease
	err    error
}

// tickets are the places of one call in the queues of several sidecars.
type tickets struct {
	g       *Gateway
	one     *call
	cancel  context.CancelFunc
	ctx     context.Context
	results chan ticketResult
	// open counts the tickets without a result.
	open int
	// asked counts the sidecars that were asked.
	asked int
	// maxOpen and maxAsked bound the tickets at a time and in all.
	maxOpen, maxAsked int
	terms             placeTerms
	rest              []candidate
	// retryAfter is the shortest time that a sidecar named.
	retryAfter time.Duration
	reason     string
}

// placeAtEngine queues a call at the sidecar of the most promising engine, and, while
// it waits, at further ones. The first slot that is granted is taken.
func (g *Gateway) placeAtEngine(ctx context.Context, one *call, list []fleet.Server, terms placeTerms) (*placement, *Failure) {
	t := &tickets{g: g, one: one, terms: terms, results: make(chan ticketResult, len(list)), rest: g.servers.candidates(list, one, time.Now())}
	t.maxOpen, t.maxAsked = maxTickets, maxAsks
	if g.delay() > leanDelay {
		t.maxOpen, t.maxAsked = leanTickets, leanAsks
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	defer t.abandon()
	for {
		if at := t.next(); at != nil {
			return at, nil
		}
		if t.open == 0 {
			return nil, t.refused()
		}
		var hedge <-chan time.Time
		if t.open < t.maxOpen && len(t.rest) > 0 {
			timer := time.NewTimer(hedgeAfter)
			defer timer.Stop()
			hedge = timer.C
		}
		select {
		case <-ctx.Done():
			return nil, unavailable(KindNoSlot, defaultRetryAfter, "no slot before the end of the request")
		case <-hedge:
		case result := <-t.results:
			if at := t.take(result); at != nil {
				return at, nil
			}
		}
	}
}

// next places a ticket at the next candidate. An engine whose sidecar is silent gets
// the request directly, within a bound; then next returns the placement.
func (t *tickets) next() *placement {
	for len(t.rest) > 0 && t.open < t.maxOpen && t.asked < t.maxAsked {
		c := t.rest[0]
		t.rest = t.rest[1:]
		address := t.g.options.SlotAddress(c.server)
		if c.silent || address == "" {
			if t.terms.granted || t.open > 0 || !t.g.servers.takeDirect(c.server.ID) {
				continue
			}
			return t.direct(c.server)
		}
		t.open++
		t.asked++
		go t.ask(c.server, address)
		return nil
	}
	return nil
}

func (t *tickets) direct(server fleet.Server) *placement {
	t.g.logger.Info().Str("request_id", t.one.info.ID).Str("backend_server", server.ID).Str("outcome", "direct").Msg("placement")
	return &placement{server: server, release: func(admission.Outcome) { t.g.servers.leaveDirect(server.ID) }}
}

func (t *tickets) ask(server fleet.Server, address string) {
	one := t.one
	lease, err := t.g.options.Slots.Acquire(t.ctx, address, slots.Ask{
		RequestID:     one.info.ID,
		Account:       one.accountName(),
		Rank:          uint32(max(one.rank(), 0)),
		BudgetMS:      steady.Until(one.deadline).Milliseconds(),
		ObjectiveMS:   one.objectiveLeft().Milliseconds(),
		HasObjective:  one.route.Objective > 0 && !t.terms.begun,
		LateHoldMS:    one.lateHold().Milliseconds(),
		MaxEventGapMS: one.route.MaxEventGap.Milliseconds(),
		PromptTokens:  one.info.PromptTokens,
		OutputTokens:  one.outputTokens(),
		Slots:         max(server.Slots, one.engine.Slots),
		MemoryTokens:  one.engine.MemoryTokens,
	}, func(load admission.SlotLoad) { t.g.servers.sawLoad(server.ID, load) })
	t.results <- ticketResult{server: server, lease: lease, err: err}
}

// take handles the end of a ticket. It returns a placement if a slot was granted at an
// engine that may still be used.
func (t *tickets) take(result ticketResult) *placement {
	t.open--
	var refused *slots.RefusedError
	var silent *slots.UnreachableError
	switch {
	case errors.As(result.err, &refused):
		t.g.servers.sawLoad(result.server.ID, refused.Load)
		t.reason = refused.Reason
		if refused.Reason == admission.ReasonDeadline.String() && !t.terms.begun && t.one.objectiveLeft() <= 0 {
			// It is too late for the request, whichever engine is asked.
			t.rest = nil
		}
		if t.retryAfter == 0 || refused.RetryAfter < t.retryAfter {
			t.retryAfter = refused.RetryAfter
		}
		return nil
	case errors.As(result.err, &silent):
		t.g.servers.sidecarSilent(result.server.ID)
		t.g.lines.Warn().Str("request_id", t.one.info.ID).Str("backend_server", result.server.ID).Err(result.err).Msg("the sidecar is silent")
		t.rest = append(t.rest, candidate{server: result.server, silent: true})
		return nil
	case result.err != nil:
		// The request has ended, and its line says why.
		return nil
	}
	if !t.g.stillUsable(result.server) {
		result.lease.Abandon()
		t.reason = "draining"
		return nil
	}
	t.g.servers.sawLoad(result.server.ID, result.lease.Load)
	return t.g.leased(result.server, result.lease)
}

func (g *Gateway) leased(server fleet.Server, lease *slots.Lease) *placement {
	return &placement{server: server, release: func(outcome admission.Outcome) {
		g.servers.holds(server.ID, -1)
		lease.Finish(outcome)
	}}
}

// abandon takes back the tickets that are left. A slot that is granted all the same
// is given back.
func (t *tickets) abandon() {
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

func (t *tickets) refused() *Failure {
	after := t.retryAfter
	if after == 0 {
		after = defaultRetryAfter
	}
	return unavailable(KindNoSlot, after, "no engine has a slot in time: "+t.reason)
}

// sortCandidates puts the home of a request's prompt first while it has a free slot,
// then the engines with a free slot, then the others, each by the expected wait.
func sortCandidates(all []candidate, home string) {
	class := func(c candidate) int {
		switch {
		case c.silent:
			return 3
		case c.server.ID == home && c.free:
			return 0
		case c.free:
			return 1
		}
		return 2
	}
	sort.SliceStable(all, func(i, j int) bool {
		if a, b := class(all[i]), class(all[j]); a != b {
			return a < b
		}
		return all[i].wait < all[j].wait
	})
}

// SlotAddress returns a function that finds the sidecar of an engine: it listens on
// the engine's machine, on the same port everywhere.
func SlotAddress(port string) func(fleet.Server) string {
	return func(server fleet.Server) string {
		host, _, err := net.SplitHostPort(server.Address)
		if err != nil {
			return ""
		}
		return net.JoinHostPort(host, port)
	}
}
