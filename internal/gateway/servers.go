package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/promptmemory"
)

const (
	// meanTimeWeight and failureRateWeight are the weights of a new sample in the moving
	// averages.
	meanTimeWeight    = 0.1
	failureRateWeight = 0.2
	// unreachableBackoff is how long a backend server that refused a connection is avoided.
	unreachableBackoff = 500 * time.Millisecond
	// replacedBackoff is how long a backend server is avoided after another one answered at its
	// address: until its registration must have expired.
	replacedBackoff = 5 * time.Second
	// failingBackoff is how long a backend server that fails too often is avoided.
	failingBackoff = time.Second
	// maxFailureRate is the fraction of failed requests above which a backend server is avoided.
	maxFailureRate = 0.3
	// slotLoadMaxAge is how long the load reported by a sidecar is used without an update.
	slotLoadMaxAge = 300 * time.Millisecond
	// slotLoadMemoryAge is how long the load that a sidecar reported still says what its engine's memory holds.
	slotLoadMemoryAge = 5 * time.Second
	// serverLoadMaxAge is how long the load reported in a backend server's answers is used.
	serverLoadMaxAge = 200 * time.Millisecond
	// paceMaxAge is how long the pace that a backend server told is taken as the present one: it changes many times a
	// second.
	paceMaxAge = 100 * time.Millisecond
	// engineSilentTime is how long an engine with a lost sidecar counts as silent after a ticket that was not
	// answered.
	engineSilentTime = time.Second
	// maxDirectRequests limits the requests of this entry at an engine for which neither a sidecar
	// nor a deputy grants slots.
	maxDirectRequests = 2
	// remoteDataCentrePenalty, in seconds, is added to the expected wait of engines in other
	// data centres, because traffic between data centres costs money.
	remoteDataCentrePenalty = 0.03
	// unusedServerTTL is how long statistics of an unused server are kept.
	unusedServerTTL = time.Minute
)

// serverStats holds what this entry has measured for one backend server.
type serverStats struct {
	outstanding int
	// meanSeconds is the mean duration of a request, at the usual pace of servers that tell their pace.
	meanSeconds float64
	failureRate float64
	// avoidedUntil is when the server may get requests again.
	avoidedUntil time.Time
	load         ServerLoad
	loadAt       time.Time

	slotLoad   admission.SlotLoad
	slotLoadAt time.Time
	// unansweredSince is when the first ticket was submitted that no process has answered; zero if the last one was.
	unansweredSince time.Time
	// leasedSinceLoad is the change in the number of slots that this entry holds since slotLoad
	// was reported. A grant reports a new load, so only releases change it.
	leasedSinceLoad int
	directRequests  int
	// nextPermit is when the next request without a slot may be sent under a rate limit.
	nextPermit time.Time
	lastUsed   time.Time
}

// serverTable holds the measurements of this entry for the backend servers of the directory. It
// is safe for concurrent use.
type serverTable struct {
	// dataCentre is the data centre of this entry.
	dataCentre string

	// memory estimates what engines hold of the beginnings of prompts.
	memory *promptmemory.Estimator

	mu    sync.Mutex
	stats map[string]*serverStats
}

func newServerTable(dataCentre string) *serverTable {
	return &serverTable{dataCentre: dataCentre, stats: map[string]*serverStats{}, memory: promptmemory.New()}
}

func (t *serverTable) get(id string) *serverStats {
	s := t.stats[id]
	if s == nil {
		s = &serverStats{lastUsed: time.Now()}
		t.stats[id] = s
	}
	return s
}

// prune removes backend servers that are neither registered nor in use.
func (t *serverTable) prune(registered []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := map[string]bool{}
	for _, id := range registered {
		keep[id] = true
	}
	for id, s := range t.stats {
		if !keep[id] && s.outstanding == 0 && now.Sub(s.lastUsed) > unusedServerTTL {
			delete(t.stats, id)
		}
	}
}

func (t *serverTable) sendStarted(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.outstanding++
	s.lastUsed = time.Now()
}

// sendFinished records the result of one send. A send that was cut by its caller or its deadline
// doesn't affect the statistics of the backend server.
func (t *serverTable) sendFinished(id string, result sendResult, elapsed time.Duration, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.outstanding--
	now := time.Now()
	if result.hasLoad {
		s.load, s.loadAt = result.load, now
	}
	switch {
	case cut:
		return
	case result.verdict == verdictUnsent:
		s.avoidedUntil = now.Add(unreachableBackoff)
		return
	case result.verdict == verdictReplaced:
		s.avoidedUntil = now.Add(replacedBackoff)
		return
	case result.verdict == verdictRejected:
		return
	case result.verdict == verdictFailed:
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		if s.failureRate > maxFailureRate {
			s.avoidedUntil = now.Add(failingBackoff)
		}
		return
	}
	s.failureRate -= failureRateWeight * s.failureRate
	s.addSample(elapsed.Seconds() / result.load.pace())
}

// pace returns how long work takes at the moment, relative to the usual time.
func (l ServerLoad) pace() float64 {
	if l.Pace <= 0 {
		return 1
	}
	return l.Pace
}

func (s *serverStats) addSample(seconds float64) {
	if s.meanSeconds == 0 {
		s.meanSeconds = seconds
		return
	}
	s.meanSeconds += meanTimeWeight * (seconds - s.meanSeconds)
}

// usable returns the untried servers that aren't avoided. If more than half of the list is
// avoided, it returns those as well, last, because then the cause is probably not in the
// servers.
func (t *serverTable) usable(list []fleet.Server, tried map[string]bool, now time.Time) []fleet.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var usable, avoided []fleet.Server
	for _, server := range list {
		if tried[server.ID] {
			continue
		}
		if now.Before(t.get(server.ID).avoidedUntil) {
			avoided = append(avoided, server)
			continue
		}
		usable = append(usable, server)
	}
	if len(usable) == 0 || 2*len(avoided) > len(list) {
		return append(usable, avoided...)
	}
	return usable
}

// leastLoaded returns the server of a plain service with the lowest expected answer time.
func (t *serverTable) leastLoaded(list []fleet.Server, now time.Time) fleet.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best fleet.Server
	bestTime := math.Inf(1)
	typical := t.typicalSeconds(list)
	for _, i := range rand.Perm(len(list)) {
		if estimate := t.get(list[i].ID).answerTime(list[i], typical, now); estimate < bestTime {
			best, bestTime = list[i], estimate
		}
	}
	return best
}

// typicalTime returns the mean answer time of some servers.
func (t *serverTable) typicalTime(list []fleet.Server) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.typicalSeconds(list) * float64(time.Second))
}

func (t *serverTable) typicalSeconds(list []fleet.Server) float64 {
	sum, n := 0.0, 0.0
	for _, server := range list {
		if s := t.get(server.ID); s.meanSeconds > 0 {
			sum += s.meanSeconds
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// answerTime estimates the answer time of an additional request, in seconds.
func (s *serverStats) answerTime(server fleet.Server, typical float64, now time.Time) float64 {
	perRequest := s.meanSeconds
	if perRequest == 0 {
		perRequest = typical
	}
	busy := s.outstanding
	if now.Sub(s.loadAt) < serverLoadMaxAge {
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	if now.Sub(s.loadAt) < paceMaxAge {
		perRequest *= s.load.pace()
	}
	slots := float64(max(server.Slots, 1))
	// With up to half of its slots in use, a server is as fast as when idle; beyond, requests
	// slow each other down.
	return perRequest * (1 + max(0, float64(busy+1)-slots/2)/slots) / (1 - min(s.failureRate, 0.9))
}

// recordSlotLoad stores the load that a sidecar reported.
func (t *serverTable) recordSlotLoad(id string, load admission.SlotLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.slotLoad, s.slotLoadAt, s.leasedSinceLoad = load, time.Now(), 0
	s.unansweredSince = time.Time{}
}

// ticketSubmitted records that a slot of an engine is asked for.
func (t *serverTable) ticketSubmitted(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.get(id); s.unansweredSince.IsZero() || time.Since(s.unansweredSince) > engineSilentTime {
		s.unansweredSince = time.Now()
	}
}

// silent reports whether the ticket that was submitted last, a round trip ago or more, has not been answered.
func (s *serverStats) silent(now time.Time) bool {
	unanswered := now.Sub(s.unansweredSince)
	return !s.unansweredSince.IsZero() && unanswered > hedgeAfter && unanswered < engineSilentTime
}

// adjustLeased adds to the number of slots leased since the last load report.
func (t *serverTable) adjustLeased(id string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).leasedSinceLoad += change
}

// acquireDirect counts a request that is sent to an engine without a slot. It returns false if
// maxDirectRequests is reached.
func (t *serverTable) acquireDirect(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	if s.directRequests >= maxDirectRequests {
		return false
	}
	s.directRequests++
	return true
}

func (t *serverTable) releaseDirect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).directRequests--
}

// candidate is an engine that may get a request.
type candidate struct {
	server fleet.Server
	// wait is the expected time to the first event, in seconds.
	wait float64
	// slotFree says that the engine is estimated to have a free slot.
	slotFree bool
	// silent says that neither the engine's sidecar nor a deputy has answered lately.
	silent bool
	// noSlots says that no process grants slots of the engine.
	noSlots bool
	// claim is what the engine's memory of earlier prompts is worth to the request; wait takes it into account.
	claim promptmemory.Claim
}

// candidates returns the engines for a request, best first. With prefix affinity, what an engine probably still holds of
// the prompt is weighed against the wait there. sidecarLost reports whether the sidecar of an engine doesn't answer.
func (t *serverTable) candidates(list []fleet.Server, call *call, now time.Time, sidecarLost func(fleet.Server) bool) []candidate {
	all, memories := t.estimate(list, call, now, sidecarLost)
	// Claims takes time for each part of the prompt, so that it isn't called under the lock.
	if len(memories) > 0 {
		for i, claim := range t.memory.Claims(memories, call.promptParts(), now) {
			all[i].claim = claim
			all[i].wait -= claim.Seconds
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	sortCandidates(all)
	return all
}

// estimate returns the engines for a request without what their memories are worth to it, and how to weigh these if the
// request has prefix affinity.
func (t *serverTable) estimate(list []fleet.Server, call *call, now time.Time, sidecarLost func(fleet.Server) bool) ([]candidate, []promptmemory.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]candidate, 0, len(list))
	for _, server := range list {
		s := t.get(server.ID)
		c := candidate{server: server, silent: s.silent(now) && sidecarLost(server)}
		c.wait, c.slotFree = s.firstEventTime(server, call, now)
		if server.DataCentre != t.dataCentre {
			c.wait += remoteDataCentrePenalty
		}
		all = append(all, c)
	}
	if !call.route.PrefixAffinity || len(call.info.Parts) == 0 {
		return all, nil
	}
	return all, t.memories(all, now)
}

// memories describes the memories of engines. The caller holds t.mu.
func (t *serverTable) memories(all []candidate, now time.Time) []promptmemory.Server {
	servers := make([]promptmemory.Server, len(all))
	for i, c := range all {
		s := t.get(c.server.ID)
		servers[i] = promptmemory.Server{
			Incarnation: c.server.Incarnation(), Wait: c.wait,
			SecondsPerToken: s.slotLoad.FirstToken.Seconds() / admission.ReferencePrompt,
			MemoryTokens:    s.slotLoad.MemoryTokens, HeldTokens: s.slotLoad.RunningTokens, TokensPerSecond: s.slotLoad.ReadTokensPerSecond,
			Usable: !c.silent && !c.noSlots && s.rateLimitWait(now) == 0 && max(s.failureRate, s.slotLoad.FailureRate) <= maxFailureRate && now.Sub(s.slotLoadAt) < slotLoadMemoryAge,
		}
	}
	return servers
}

// promptParts returns the parts of the prompt, at most as many tokens as the prompt has.
func (c *call) promptParts() []promptmemory.Part {
	parts := make([]promptmemory.Part, 0, len(c.info.Parts))
	left := c.info.PromptTokens
	for _, part := range c.info.Parts {
		if part.Tokens <= 0 || part.Tokens > left {
			break
		}
		left -= part.Tokens
		parts = append(parts, promptmemory.Part{ID: part.ID, Tokens: part.Tokens})
	}
	return parts
}

// firstEventTime estimates the time to the first event of a request, in seconds, and whether a
// slot is free.
func (s *serverStats) firstEventTime(server fleet.Server, call *call, now time.Time) (float64, bool) {
	slots := s.slotLoad.Slots
	if slots == 0 {
		slots = max(server.Slots, 1)
	}
	firstEvent := s.slotLoad.FirstToken.Seconds() * float64(max(call.info.PromptTokens, 200)) / admission.ReferencePrompt
	running := s.slotLoad.Running + s.leasedSinceLoad
	if now.Sub(s.slotLoadAt) > slotLoadMaxAge {
		running = min(running, slots-1)
	}
	waiting := 0
	for rank := 0; rank <= min(call.rank(), admission.MaxRank); rank++ {
		waiting += s.slotLoad.Waiting[rank]
	}
	if now.Sub(s.slotLoadAt) > slotLoadMaxAge {
		waiting = 0
	}
	busy := float64(running) / float64(slots)
	rateLimitWait := s.rateLimitWait(now)
	free := running < slots && waiting == 0 && rateLimitWait == 0
	wait := firstEvent*(1+busy) + s.failureRate + s.slotLoad.FailureRate
	if !free {
		slotTime := max(s.slotLoad.SlotTime.Seconds(), 0.05)
		wait += max(slotTime*float64(waiting+running-slots+1)/float64(slots), 0) + rateLimitWait.Seconds()
	}
	return wait, free
}
