package admission

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Engine model: duration of one iteration of a continuous batch.
const (
	modelStepBase     = 12 * time.Millisecond
	modelStepSequence = 600 * time.Microsecond
	modelPrefillToken = 125 * time.Microsecond
	modelPrefillChunk = 512
	modelMaxBatch     = 32
	modelRun          = 180 * time.Second
	modelTiers        = 5
)

var modelShares = [modelTiers]float64{0.10, 0.20, 0.30, 0.25, 0.15}

// job is one request in the model.
type job struct {
	arrival, deadline time.Time
	rank              int
	prompt, output    int
	ticket            *Ticket

	prefillLeft, produced int
	state                 string
	refusedAfter          time.Duration
}

// policy defines how requests are admitted to the engine.
type policy struct {
	name string
	// queue is nil for a first-in, first-out queue in the engine.
	queue func() *Queue
}

// model simulates one engine with one queue in virtual time.
type model struct {
	now     time.Time
	ticked  time.Time
	queue   *Queue
	jobs    []*job
	queued  []*job
	engine  []*job
	prefill int
	wasted  int
	speed   func(at time.Duration) float64
}

func makeJobs(seed uint64, load float64) []*job {
	rng := rand.New(rand.NewPCG(seed, 5))
	// About 5 requests per second saturate the model at its largest batch.
	const capacity = 5.2
	var jobs []*job
	at := 0.0
	for at < modelRun.Seconds() {
		at += rng.ExpFloat64() / (capacity * load)
		j := &job{arrival: epoch.Add(time.Duration(at * float64(time.Second)))}
		draw := rng.Float64()
		for j.rank < modelTiers-1 && draw >= modelShares[j.rank] {
			draw -= modelShares[j.rank]
			j.rank++
		}
		j.prompt = lognormal(rng, 450, 30, 3000)
		j.output = lognormal(rng, 90, 8, 800)
		alone := time.Duration(j.prompt)*modelPrefillToken + time.Duration(j.output)*22*time.Millisecond
		base := []time.Duration{3, 5, 8, 15, 30}[j.rank] * time.Second
		factor := []float64{2, 2.5, 3, 4, 5}[j.rank]
		j.deadline = j.arrival.Add(base + time.Duration(factor*float64(alone)))
		j.prefillLeft = j.prompt
		jobs = append(jobs, j)
	}
	return jobs
}

func lognormal(rng *rand.Rand, median float64, low, high int) int {
	return min(high, max(low, int(median*math.Exp(1.1*rng.NormFloat64()))))
}

func (m *model) run() {
	arrivals := m.jobs
	for len(arrivals) > 0 || len(m.engine) > 0 || len(m.queued) > 0 {
		for len(arrivals) > 0 && !arrivals[0].arrival.After(m.now) {
			m.arrive(arrivals[0])
			arrivals = arrivals[1:]
		}
		m.removeExpired()
		m.admit()
		if len(m.engine) == 0 {
			m.now = m.now.Add(5 * time.Millisecond)
			continue
		}
		m.iterate()
	}
}

func (m *model) arrive(j *job) {
	if m.queue == nil {
		m.engine = append(m.engine, j)
		return
	}
	j.ticket = m.queue.NewTicket(j.arrival, Request{
		Rank: uint32(j.rank), Deadline: j.deadline, Account: "a",
		PromptTokens: uint32(j.prompt), OutputTokens: uint32(j.output),
	})
	m.queue.Submit(m.now, j.ticket)
	m.queued = append(m.queued, j)
}

// removeExpired ends the requests in the engine whose deadline has passed.
func (m *model) removeExpired() {
	m.engine = slices.DeleteFunc(m.engine, func(j *job) bool {
		if m.now.Before(j.deadline) {
			return false
		}
		j.state = "late"
		m.wasted += j.prompt - j.prefillLeft
		if j.ticket != nil {
			m.queue.Finish(m.now, j.ticket, false, 0)
		}
		return true
	})
}

// admit moves granted requests to the engine.
func (m *model) admit() {
	if m.queue != nil && m.now.Sub(m.ticked) >= 250*time.Millisecond {
		m.ticked = m.now
		m.queue.Tick(m.now)
	}
	m.queued = slices.DeleteFunc(m.queued, func(j *job) bool {
		m.queue.Recheck(m.now, j.ticket)
		if !decided(j.ticket) {
			return false
		}
		if refusal := j.ticket.Refusal(); refusal != nil {
			j.state = refusal.Reason.String()
			j.refusedAfter = m.now.Sub(j.arrival)
			return true
		}
		m.queue.Start(m.now, j.ticket)
		m.engine = append(m.engine, j)
		return true
	})
}

// iterate simulates one iteration of the engine's batch, in order of admission.
func (m *model) iterate() {
	batch := m.engine[:min(len(m.engine), modelMaxBatch)]
	chunk, decoding := modelPrefillChunk, 0
	for _, j := range batch {
		step := min(chunk, j.prefillLeft)
		chunk -= step
		j.prefillLeft -= step
		m.prefill += step
		if j.prefillLeft == 0 {
			decoding++
		}
	}
	cost := modelStepBase + time.Duration(decoding)*modelStepSequence + time.Duration(modelPrefillChunk-chunk)*modelPrefillToken
	m.now = m.now.Add(time.Duration(float64(cost) / m.speed(m.now.Sub(epoch))))
	for _, j := range batch {
		if j.prefillLeft == 0 {
			m.produce(j)
		}
	}
	m.engine = slices.DeleteFunc(m.engine, func(j *job) bool { return j.state != "" })
}

func (m *model) produce(j *job) {
	j.produced++
	if j.ticket != nil {
		m.queue.RecordEvents(m.now, j.ticket, 1)
	}
	if j.produced < j.output {
		return
	}
	j.state = "good"
	if m.now.After(j.deadline) {
		j.state = "late"
		m.wasted += j.prompt
	}
	if j.ticket != nil {
		m.queue.Finish(m.now, j.ticket, true, 0)
	}
}

// result aggregates a run.
type result struct {
	offered, good [modelTiers]int
	goodTokens    int
	// prefill and wasted are numbers of prompt tokens.
	prefill, wasted int
	refused         int
	refusedAfter    time.Duration
	// granted is the number of grants before the last arrival.
	granted [modelTiers]int
	// overtaken is the number of refused requests that could still have been served when a
	// lower tier was granted a slot.
	overtaken int
}

func (r *result) add(other result) {
	for rank := range modelTiers {
		r.offered[rank] += other.offered[rank]
		r.good[rank] += other.good[rank]
		r.granted[rank] += other.granted[rank]
	}
	r.goodTokens += other.goodTokens
	r.prefill += other.prefill
	r.wasted += other.wasted
	r.refused += other.refused
	r.overtaken += other.overtaken
	r.refusedAfter += other.refusedAfter
}

func (r result) share(rank int) float64 {
	return float64(r.good[rank]) / float64(max(1, r.offered[rank]))
}

func (r result) goodTotal() int {
	total := 0
	for _, good := range r.good {
		total += good
	}
	return total
}

func (r result) String() string {
	line := ""
	total, good := 0, 0
	for rank := range modelTiers {
		line += fmt.Sprintf(" %5.1f", 100*r.share(rank))
		total += r.offered[rank]
		good += r.good[rank]
	}
	return fmt.Sprintf("%s | %5.1f %% good, %6d tokens, %4.1f %% wasted prefill, refused after %.1f s, %d of %d overtaken, granted %v", line, 100*float64(good)/float64(total), r.goodTokens, 100*float64(r.wasted)/float64(max(1, r.prefill)),
		r.refusedAfter.Seconds()/float64(max(1, r.refused)), r.overtaken, r.refused, r.granted)
}

func simulate(p policy, seed uint64, load float64, speed func(time.Duration) float64) result {
	m := &model{now: epoch, jobs: makeJobs(seed, load), speed: speed}
	if p.queue != nil {
		m.queue = p.queue()
	}
	m.run()
	var r result
	for _, j := range m.jobs {
		r.offered[j.rank]++
		if j.refusedAfter > 0 {
			r.refused++
			r.refusedAfter += j.refusedAfter
			r.overtaken += m.countOvertaken(j)
		}
		if j.startedBefore(epoch.Add(modelRun)) {
			r.granted[j.rank]++
		}
		if j.state == "good" {
			r.good[j.rank]++
			r.goodTokens += j.output
		}
	}
	r.prefill, r.wasted = m.prefill, m.wasted
	return r
}

func (j *job) startedBefore(end time.Time) bool {
	return j.ticket != nil && !j.ticket.started.IsZero() && j.ticket.started.Before(end)
}

// countOvertaken returns 1 if a lower tier was granted a slot after the request was refused but
// while the request could still have been served in time.
func (m *model) countOvertaken(refused *job) int {
	const pace = 45 * time.Millisecond
	need := time.Duration(refused.prompt)*modelPrefillToken + time.Duration(refused.output)*pace
	from, to := refused.arrival.Add(refused.refusedAfter), refused.deadline.Add(-need)
	for _, j := range m.jobs {
		if j.rank > refused.rank && j.startedBefore(to) && j.ticket.started.After(from) {
			return 1
		}
	}
	return 0
}

func fixedLimit(n int) policy {
	return policy{fmt.Sprintf("fixed %d", n), func() *Queue { return NewQueue(Options{MaxConcurrency: n}) }}
}

var (
	fifo    = policy{name: "first in, first out"}
	learned = policy{"learned", func() *Queue { return NewQueue(Options{AdaptiveLimit: true}) }}
)

func constantSpeed(time.Duration) float64 { return 1 }

// temporarySlowdown reduces the speed to a third in the middle third of the run.
func temporarySlowdown(at time.Duration) float64 {
	if at > modelRun/3 && at < 2*modelRun/3 {
		return 1.0 / 3
	}
	return 1
}

// TestAdaptiveLimitProtectsHigherTiers compares the adaptive limit with its baselines. -v prints
// the table; -policy.table adds more baselines.
func TestAdaptiveLimitProtectsHigherTiers(t *testing.T) {
	policies := []policy{fifo, learned}
	if *policyTable {
		policies = []policy{fifo, fixedLimit(8), fixedLimit(16), fixedLimit(32), fixedLimit(64), learned}
	}
	t.Log("engine    load  policy                goodput of tiers 0 to 4, in %")
	for _, load := range []float64{0.7, 1, 2} {
		results := comparePolicies(t, policies, "steady", load, constantSpeed)
		adaptive, unqueued := results[learned.name], results[fifo.name]
		for rank := range 2 {
			if adaptive.share(rank) < 0.99 {
				t.Errorf("at %.1fx load tier %d has a goodput of %.3f", load, rank, adaptive.share(rank))
			}
		}
		if adaptive.goodTotal() < unqueued.goodTotal() {
			t.Errorf("at %.1fx load %d requests met their deadline, %d without a queue", load, adaptive.goodTotal(), unqueued.goodTotal())
		}
		if adaptive.overtaken*100 > adaptive.refused {
			t.Errorf("at %.1fx load %d of %d refused requests were overtaken by a lower tier", load, adaptive.overtaken, adaptive.refused)
		}
		if float64(adaptive.wasted) > 0.02*float64(adaptive.prefill) {
			t.Errorf("at %.1fx load %d of %d prefill tokens were wasted", load, adaptive.wasted, adaptive.prefill)
		}
	}
	if *policyTable {
		for _, load := range []float64{0.7, 1, 2} {
			comparePolicies(t, policies, "slow-down", load, temporarySlowdown)
		}
	}
}

var policyTable = flag.Bool("policy.table", false, "print the table of all policies")

// seeds returns the number of seeds that are aggregated in each figure.
func seeds() uint64 {
	if *policyTable {
		return 3
	}
	return 1
}

// comparePolicies returns the aggregated results over all seeds by policy.
func comparePolicies(t *testing.T, policies []policy, name string, load float64, speed func(time.Duration) float64) map[string]result {
	results := map[string]result{}
	for _, p := range policies {
		var sum result
		for seed := uint64(1); seed <= seeds(); seed++ {
			sum.add(simulate(p, seed, load, speed))
		}
		t.Logf("%-9s %.1fx %-20s %v", name, load, p.name, sum)
		results[p.name] = sum
	}
	return results
}
