package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

const (
	// timeSmoothing and failureSmoothing are the weights of one new sample.
	timeSmoothing    = 0.1
	failureSmoothing = 0.2
	// unreachableFor is how long a backend server that refused a connection gets no requests.
	unreachableFor = 500 * time.Millisecond
	// replacedFor is how long a backend server whose address another one has gets no
	// requests: until its entry must be gone.
	replacedFor = 5 * time.Second
	// failingFor is how long a backend server that fails too often gets no requests.
	failingFor = time.Second
	// maxFailureRate is the part of failed requests from which on a server is passed over.
	maxFailureRate = 0.3
	// sidecarSilentFor is how long a sidecar that did not answer isn't asked.
	sidecarSilentFor = time.Second
	// viewFresh is how long the load that a sidecar told is believed without others.
	viewFresh = 300 * time.Millisecond
	// loadFresh is the same for the load in a backend server's own answers.
	loadFresh = 200 * time.Millisecond
	// maxDirect bounds the requests of this entry at an engine whose sidecar is silent.
	maxDirect = 2
	// crossPenalty, in seconds, makes an entry prefer engines of its own data centre
	// unless others are expected to be faster by so much: traffic between data centres costs.
	crossPenalty = 0.03
	// minSharedPart is the part of a prompt that must be shared with other requests for
	// the request to look for an engine that holds it.
	minSharedPart = 0.25
	// forgetServerAfter is how long a server without requests is remembered.
	forgetServerAfter = time.Minute
)

// serverStats is what this entry has seen of one backend server.
type serverStats struct {
	outstanding int
	// seconds is the mean time of a request.
	seconds     float64
	failureRate float64
	// shunnedUntil is when it may get requests again.
	shunnedUntil time.Time
	load         ServerLoad
	loadAt       time.Time

	view   admission.SlotLoad
	viewAt time.Time
	// held counts the slots that this entry got (and gave back) since the view.
	held          int
	direct        int
	sidecarSilent time.Time
	used          time.Time
}

// serverTable holds what this entry knows of the backend servers beside their entries
// in the directory. It is safe for concurrent use.
type serverTable struct {
	// dataCentre is that of this entry.
	dataCentre string

	mu    sync.Mutex
	stats map[string]*serverStats
}

func newServerTable(dataCentre string) *serverTable {
	return &serverTable{dataCentre: dataCentre, stats: map[string]*serverStats{}}
}

func (t *serverTable) get(id string) *serverStats {
	s := t.stats[id]
	if s == nil {
		s = &serverStats{used: time.Now()}
		t.stats[id] = s
	}
	return s
}

// keep forgets backend servers that are neither registered nor in use.
func (t *serverTable) keep(registered []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[string]bool{}
	for _, id := range registered {
		listed[id] = true
	}
	for id, s := range t.stats {
		if !listed[id] && s.outstanding == 0 && now.Sub(s.used) > forgetServerAfter {
			delete(t.stats, id)
		}
	}
}

func (t *serverTable) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.outstanding++
	s.used = time.Now()
}

// finished takes what one send showed. A send that was cut short by its caller or its
// deadline says nothing of the backend server.
func (t *serverTable) finished(id string, result sendResult, took time.Duration, cut bool) {
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
		s.shunnedUntil = now.Add(unreachableFor)
		return
	case result.verdict == verdictReplaced:
		s.shunnedUntil = now.Add(replacedFor)
		return
	case result.verdict == verdictRejected:
		return
	case result.verdict == verdictFailed:
		s.failureRate += failureSmoothing * (1 - s.failureRate)
		if s.failureRate > maxFailureRate {
			s.shunnedUntil = now.Add(failingFor)
		}
		return
	}
	s.failureRate -= failureSmoothing * s.failureRate
	s.learn(took.Seconds())
}

func (s *serverStats) learn(seconds float64) {
	if s.seconds == 0 {
		s.seconds = seconds
		return
	}
	s.seconds += timeSmoothing * (seconds - s.seconds)
}

// usable returns the servers that are not shunned; all of them if most are, as then
// the fault isn't theirs alone.
func (t *serverTable) usable(list []fleet.Server, tried map[string]bool, now time.Time) []fleet.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var good, rest []fleet.Server
	for _, server := range list {
		if tried[server.ID] {
			continue
		}
		if now.Before(t.get(server.ID).shunnedUntil) {
			rest = append(rest, server)
			continue
		}
		good = append(good, server)
	}
	if len(good) == 0 || 2*len(rest) > len(list) {
		return append(good, rest...)
	}
	return good
}

// leastLoaded returns the server of a plain service that is expected to answer first.
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

// typicalTime returns the mean time to an answer of some servers.
func (t *serverTable) typicalTime(list []fleet.Server) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.typicalSeconds(list) * float64(time.Second))
}

func (t *serverTable) typicalSeconds(list []fleet.Server) float64 {
	sum, n := 0.0, 0.0
	for _, server := range list {
		if s := t.get(server.ID); s.seconds > 0 {
			sum += s.seconds
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// answerTime estimates the time to the answer of one more request, in seconds.
func (s *serverStats) answerTime(server fleet.Server, typical float64, now time.Time) float64 {
	each := s.seconds
	if each == 0 {
		each = typical
	}
	busy := s.outstanding
	if now.Sub(s.loadAt) < loadFresh {
		busy = max(busy, s.load.Running+s.load.Waiting)
	}
	slots := float64(max(server.Slots, 1))
	// Up to half of its slots a server is as fast as when it is idle; beyond, requests
	// get in each other's way.
	return each * (1 + max(0, float64(busy+1)-slots/2)/slots) / (1 - min(s.failureRate, 0.9))
}

// sawLoad takes the load of a sidecar's queue.
func (t *serverTable) sawLoad(id string, load admission.SlotLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.view, s.viewAt, s.held = load, time.Now(), 0
}

// holds counts slots that this entry got or gave back since the last view.
func (t *serverTable) holds(id string, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).held += change
}

func (t *serverTable) sidecarSilent(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).sidecarSilent = time.Now()
}

// takeDirect counts a request that goes to an engine past its silent sidecar. It
// reports false if there are too many.
func (t *serverTable) takeDirect(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	if s.direct >= maxDirect {
		return false
	}
	s.direct++
	return true
}

func (t *serverTable) leaveDirect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).direct--
}

// candidate is an engine that may take a request.
type candidate struct {
	server fleet.Server
	// wait is the expected time to the first event, in seconds.
	wait float64
	// free says that a slot is believed free.
	free bool
	// silent says that the sidecar did not answer lately.
	silent bool
}

// candidates returns the engines for a request, the most promising first. With an
// affinity, the engine that is likely to hold the request's prompt comes first while
// it has a free slot.
func (t *serverTable) candidates(list []fleet.Server, one *call, now time.Time) []candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	home, homeScore := "", math.Inf(-1)
	affinity := one.affinity()
	all := make([]candidate, 0, len(list))
	for _, server := range list {
		s := t.get(server.ID)
		c := candidate{server: server, silent: now.Sub(s.sidecarSilent) < sidecarSilentFor}
		c.wait, c.free = s.firstEventTime(server, one, now)
		if server.Zone != t.dataCentre {
			c.wait += crossPenalty
		}
		if affinity != "" {
			if score := rendezvous(affinity, server.ID, s.speed()); score > homeScore {
				home, homeScore = server.ID, score
			}
		}
		all = append(all, c)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	sortCandidates(all, home)
	return all
}

// speed returns the relative speed of an engine; 1 if it isn't known.
func (s *serverStats) speed() float64 {
	if s.view.FirstToken <= 0 {
		return 1
	}
	return 1 / max(s.view.FirstToken.Seconds(), 0.001)
}

// firstEventTime estimates the time to the first event of a request, in seconds, and
// whether a slot is free.
func (s *serverStats) firstEventTime(server fleet.Server, one *call, now time.Time) (float64, bool) {
	slots := s.view.Slots
	if slots == 0 {
		slots = max(server.Slots, 1)
	}
	first := s.view.FirstToken.Seconds() * float64(max(one.info.PromptTokens, 200)) / admission.ReferencePrompt
	running := s.view.Running + s.held
	if now.Sub(s.viewAt) > viewFresh {
		running = min(running, slots-1)
	}
	waiting := 0
	for rank := 0; rank <= min(one.rank(), admission.MaxRank); rank++ {
		waiting += s.view.Waiting[rank]
	}
	if now.Sub(s.viewAt) > viewFresh {
		waiting = 0
	}
	busy := float64(running) / float64(slots)
	free := running < slots && waiting == 0
	wait := first*(1+busy) + s.failureRate + s.view.FailureRate
	if !free {
		each := max(s.view.SlotTime.Seconds(), 0.05)
		wait += each * float64(waiting+running-slots+1) / float64(slots)
	}
	return wait, free
}

// affinity names the leading parts of the prompt that other requests share; empty if
// they are too short to matter. The last part belongs to the request itself.
func (c *call) affinity() string {
	if !c.route.PrefixAffinity || len(c.info.Parts) < 2 {
		return ""
	}
	shared := c.info.Parts[:len(c.info.Parts)-1]
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	if float64(tokens) < minSharedPart*float64(c.info.PromptTokens) {
		return ""
	}
	return shared[len(shared)-1].ID
}

// rendezvous scores a server for a key, so that all entries agree on the best one and
// each server is the best for a part of the keys by its weight.
func rendezvous(key, server string, weight float64) float64 {
	unit := (float64(xxhash.Sum64String(key+"\x00"+server)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
