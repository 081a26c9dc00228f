package routing

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// drawSize is the number of backend servers that are drawn at random and compared.
	drawSize = 2
	// affinityLoadFactor, affinitySlack and 1/affinityBudgetDivisor of the request's time budget
	// bound the wait at a backend server that is chosen for its prefix cache, relative to the
	// wait at the one chosen by load.
	affinityLoadFactor    = 1.5
	affinitySlack         = 250 * time.Millisecond
	affinityBudgetDivisor = 16
	// fullReportTTL is how long a report of a full queue stays valid.
	fullReportTTL = 20 * time.Millisecond
)

// Choose picks the backend server with the shortest estimated time to answer a request, out of
// two drawn at random and the one that holds the longest prefix of the prompt. The request counts
// as work of that server until it is acknowledged or included in a load report. It returns
// *NoServerError if there is none.
func (t *Table) Choose(request Request, now time.Time) (Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastUsed[request.Pool] = now
	candidates, reason := t.candidates(request, now)
	if len(candidates) == 0 {
		return Target{}, errors.WithStack(&NoServerError{Pool: request.Pool, Version: request.Version, Reason: reason})
	}
	return t.assign(t.best(candidates, request), request, now), nil
}

// ChooseAfterRejection picks another backend server of the subset for a request that was rejected
// for lack of capacity: the one with the shortest estimated time, and only among those that hold
// the request's prefix if KeepPrefix is set and there are any. It skips servers whose queue was
// recently reported as full of tiers no lower than the request's. If it returns *NoServerError,
// the request may be rejected.
func (t *Table) ChooseAfterRejection(request Request, now time.Time) (Target, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	healthy, _, _ := usableServers(t.subsets[request.Pool], request, now)
	var candidates []*server
	for _, s := range healthy {
		if !s.shedsRank(request.Rank, now) {
			candidates = append(candidates, s)
		}
	}
	if request.KeepPrefix && len(prefixHolders(t.subsets[request.Pool], request.Prefixes)) > 0 {
		candidates = prefixHolders(candidates, request.Prefixes)
	}
	if len(candidates) == 0 {
		return Target{}, errors.WithStack(&NoServerError{Pool: request.Pool, Version: request.Version, Reason: ReasonShed})
	}
	return t.assign(fastest(candidates, request), request, now), nil
}

// shedsRank reports whether a recent load report indicates that a request of a rank would be
// shed.
func (s *server) shedsRank(rank uint32, now time.Time) bool {
	return s.load.GetFull() && s.load.GetFloorRank() <= rank && now.Sub(s.loadReceivedAt) <= fullReportTTL
}

// assign counts the request as work of the chosen backend server.
func (t *Table) assign(chosen *server, request Request, now time.Time) Target {
	chosen.dropSendsBefore(now.Add(-sendTTL))
	chosen.sends = append(chosen.sends, pendingSend{
		id:     request.ID,
		work:   request.work(chosen.cachedTokens(request.Prefixes)),
		rank:   request.Rank,
		sentAt: now,
	})
	chosen.sent.add(request.Prefixes)
	return chosen.target
}

// candidates returns the healthy backend servers of the subset, or else those of the rest of the
// pool. If all are ejected, it returns the ejected ones of the subset, or else of the rest.
func (t *Table) candidates(request Request, now time.Time) ([]*server, Reason) {
	healthy, ejected, reason := usableServers(t.subsets[request.Pool], request, now)
	if len(healthy) > 0 {
		return healthy, ""
	}
	healthyOthers, ejectedOthers, otherReason := usableServers(t.others[request.Pool], request, now)
	for _, list := range [][]*server{healthyOthers, ejected, ejectedOthers} {
		if len(list) > 0 {
			return list, ""
		}
	}
	if reasonWeight[otherReason] > reasonWeight[reason] {
		reason = otherReason
	}
	return nil, reason
}

// reasonWeight orders the reasons for which servers can't take a request: that of the servers that
// come closest to taking it is reported.
var reasonWeight = map[Reason]int{ReasonNoServer: 0, ReasonVersion: 1, ReasonDraining: 2, ReasonExcluded: 3}

// usableServers returns the servers that can take the request, those that are not ejected apart from
// those that are, and the reason if there are none.
func usableServers(servers []*server, request Request, now time.Time) (healthy, ejected []*server, reason Reason) {
	reason = ReasonNoServer
	for _, s := range servers {
		unusable := s.unusableReason(request)
		switch {
		case unusable != "":
			if reasonWeight[unusable] > reasonWeight[reason] {
				reason = unusable
			}
		case s.ejection.ejected(now):
			ejected = append(ejected, s)
		default:
			healthy = append(healthy, s)
		}
	}
	return healthy, ejected, reason
}

// unusableReason returns why a server can't take a request, or "" if it can.
func (s *server) unusableReason(request Request) Reason {
	switch {
	case !s.servesVersion(request.Version):
		return ReasonVersion
	case s.leaving || s.load.GetDraining():
		return ReasonDraining
	case request.Exclude[s.target.BackendServer]:
		return ReasonExcluded
	}
	return ""
}

// best returns the faster of two candidates drawn at random, by estimate. It prefers the fastest
// holder of the longest prefix, or the home of a prefix without a holder, unless the wait there
// exceeds the affinity bound.
func (t *Table) best(candidates []*server, request Request) *server {
	holder := affinityServer(candidates, request)
	best := fastest(t.draw(candidates), request)
	if holder == nil {
		return best
	}
	slack := affinitySlack + request.Budget/affinityBudgetDivisor
	bound := affinityLoadFactor*best.waitSeconds(request.Rank) + slack.Seconds()
	if holder.waitSeconds(request.Rank) <= bound {
		return holder
	}
	return best
}

// fastest returns the server with the shortest estimated time to answer the request.
func fastest(servers []*server, request Request) *server {
	var best *server
	var leastSeconds float64
	for _, s := range servers {
		if seconds := s.estimatedSeconds(request); best == nil || seconds < leastSeconds {
			best, leastSeconds = s, seconds
		}
	}
	return best
}

// affinityServer returns the backend server to prefer for the request's prefix, or nil.
func affinityServer(candidates []*server, request Request) *server {
	if holders := prefixHolders(candidates, request.Prefixes); len(holders) > 0 {
		return fastest(holders, request)
	}
	if len(request.Prefixes) > homePrefixLevel {
		return homeServer(candidates, request.Prefixes[homePrefixLevel])
	}
	return nil
}

// prefixHolders returns the candidates that hold the longest cached prefix.
func prefixHolders(candidates []*server, prefixes []uint64) []*server {
	var holders []*server
	var longest uint32
	for _, s := range candidates {
		cached := s.cachedTokens(prefixes)
		if cached > longest {
			holders, longest = holders[:0], cached
		}
		if cached > 0 && cached == longest {
			holders = append(holders, s)
		}
	}
	return holders
}

// homeServer returns the candidate with the highest hash of prefix and backend server (rendezvous
// hashing), so that all entries choose the same one.
func homeServer(candidates []*server, prefix uint64) *server {
	var chosen *server
	var highest uint64
	for _, s := range candidates {
		weight := (s.hash ^ prefix) * 0x9e3779b97f4a7c15
		weight ^= weight >> 32
		if chosen == nil || weight > highest {
			chosen, highest = s, weight
		}
	}
	return chosen
}

// draw returns up to drawSize distinct candidates at random. It reorders candidates.
func (t *Table) draw(candidates []*server) []*server {
	if len(candidates) <= drawSize {
		t.random.Shuffle(len(candidates), func(i, j int) {
			candidates[i], candidates[j] = candidates[j], candidates[i]
		})
		return candidates
	}
	for i := range drawSize {
		j := i + t.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:drawSize]
}
