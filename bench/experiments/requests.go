// Package experiments compares scheduling policies: it runs complete deployments in
// virtual time, with lagoonlane and with baseline routers, and prints one table for
// each scenario. Its tests run a small deployment; make targets run the full-size ones.
package experiments

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/cell"
)

// Settings that all deployments share.
const (
	maxBatch       = 32
	reportLag      = 2 * time.Second
	tokensPerEvent = 8
	entryCount     = 3
	versionName    = "v1"
)

// Deployment describes the size of a deployment.
type Deployment struct {
	Name string
	// Speeds holds the speed of each engine, of three hardware generations.
	Speeds   []float64
	Services int
	// CheckFencing makes the engines reject orders with outdated fencing numbers.
	CheckFencing bool
}

// Budapest and Ulaanbaatar have the sizes of the current deployments. Small keeps
// regular test runs short.
var (
	Budapest = Deployment{
		Name: "Budapest", Speeds: []float64{1, 1, 1, 1.5, 1.5, 1.5, 1.5, 2, 2, 2}, Services: 3, CheckFencing: true,
	}
	Ulaanbaatar = Deployment{
		Name: "Ulaanbaatar", Speeds: []float64{1, 1, 1, 1, 1.5, 1.5, 1.5, 1.5, 2, 2, 2, 2}, Services: 4,
	}
	Small = Deployment{Name: "Small", Speeds: []float64{1, 1.5, 2}, Services: 2, CheckFencing: true}
)

// Scenario is a load with the faults during it.
type Scenario struct {
	Name string
	// Load is the arrival rate relative to the capacity; for a burst, the peak rate.
	Load float64
	// Burst makes the arrival rate rise tenfold to Load within 30 s.
	Burst  bool
	Window time.Duration
	// Tail is the time after the window in which requests still arrive but aren't
	// counted, so that the load stays the same until the requests of the window end.
	Tail time.Duration
	// Faults returns the faults of a run; nil means none.
	Faults func(c *cell.Cell) []cell.Event
}

const (
	window      = 60 * time.Second
	tail        = 45 * time.Second
	burstWindow = 110 * time.Second
	burstStart  = 20 * time.Second
	burstRatio  = 10
	faultAt     = 15 * time.Second
	slowFactor  = 4
)

// Scenarios holds the loads and faults that the requirements name.
var Scenarios = []Scenario{
	{Name: "0.7x", Load: 0.7, Window: window},
	{Name: "1x", Load: 1, Window: window},
	{Name: "2x", Load: 2, Window: window, Tail: tail},
	{Name: "0.7x, one engine slows down", Load: 0.7, Window: window, Faults: slowEngineEvents},
	{Name: "0.7x, one engine is killed", Load: 0.7, Window: window, Faults: killEngineEvents},
	{Name: "burst to 2x in 30 s", Load: 2, Burst: true, Window: burstWindow},
}

// middleEngine returns an engine of the middle generation.
func middleEngine(c *cell.Cell) *cell.EngineNode { return c.Engines[len(c.Engines)/2] }

func slowEngineEvents(c *cell.Cell) []cell.Event {
	return []cell.Event{{At: faultAt, Do: func() { slowEngine(middleEngine(c)) }}}
}

func killEngineEvents(c *cell.Cell) []cell.Event {
	return []cell.Event{{At: faultAt, Do: func() { c.Kill(middleEngine(c)) }}}
}

// Run is one scenario of a deployment with one router.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	// Policy selects a baseline router; empty means lagoonlane.
	Policy cell.Policy
	// MaxConcurrency is the concurrency bound of the engines' sidecars; 0 means the batch
	// size of the engines.
	MaxConcurrency int
}

// Result holds the results of a run.
type Result struct {
	Run        Run
	Report     cell.Report
	Operations cell.OperationReport
	// Capacity is in requests per second. Arrivals is the number of requests that arrive
	// in the window.
	Capacity float64
	Arrivals int
}

// Execute runs the scenario and returns its results. It must be called in a synctest bubble.
func (r Run) Execute() (Result, error) {
	c, err := cell.Start(cell.Options{
		Speeds: r.Deployment.Speeds, ReportLag: reportLag, MaxBatch: maxBatch,
		TokensPerEvent: tokensPerEvent, CheckFencing: r.Deployment.CheckFencing, Version: versionName,
	})
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	mix := cell.DefaultMix()
	result := Result{Run: r, Capacity: mix.Capacity(r.Seed, r.Deployment.Speeds, maxBatch)}
	arrivals := r.arrivals(mix, result.Capacity)
	for _, arrival := range arrivals {
		if arrival.At < r.Scenario.Window {
			result.Arrivals++
		}
	}
	var events []cell.Event
	if r.Scenario.Faults != nil {
		events = r.Scenario.Faults(c)
	}
	if r.Policy != "" {
		result.Report = c.Drive(string(r.Policy), cell.NewDirect(c, r.Policy), mix, arrivals, r.Scenario.Window, events)
		return result, nil
	}
	system, err := cell.StartSystem(c, cell.SystemOptions{
		Entries: entryCount, Services: r.Deployment.Services, Mix: mix, Seed: r.Seed, MaxConcurrency: r.maxConcurrency(),
	})
	if err != nil {
		return Result{}, err
	}
	defer system.Close()
	events = append(events, cell.Event{Do: func() { result.Operations = system.DriveOperations(r.Scenario.Window) }})
	result.Report = c.Drive("lagoonlane", system, mix, arrivals, r.Scenario.Window, events)
	return result, nil
}

func (r Run) maxConcurrency() int {
	if r.MaxConcurrency == 0 {
		return maxBatch
	}
	return r.MaxConcurrency
}

func (r Run) arrivals(mix cell.Mix, capacity float64) []cell.Arrival {
	peak := r.Scenario.Load * capacity
	rate := cell.ConstantRate(peak)
	if r.Scenario.Burst {
		rate = cell.BurstRate(peak/burstRatio, burstStart)
	}
	return mix.Generate(r.Seed, rate, peak, r.Scenario.Window+r.Scenario.Tail)
}

// InvariantError reports a violated invariant of a run.
type InvariantError struct{ Detail string }

func (e *InvariantError) Error() string { return e.Detail }

// CheckInvariants returns an InvariantError if the run violated an invariant that must
// hold under any load.
func (r Result) CheckInvariants() error {
	for _, invariant := range []struct {
		description string
		count       int
	}{
		{"answers with the text of another request", r.Report.WrongAnswers},
		{"requests that were dispatched more than once", r.Report.Doubled},
		{"requests refused as not run that an engine had received", r.Report.NotRunButDispatched},
		{"operations that ran more than once", r.Operations.Doubled},
		{"operations that were answered but never ran", r.Operations.Lost},
	} {
		if invariant.count > 0 {
			return &InvariantError{Detail: fmt.Sprintf("%s, %s: %d %s",
				r.Run.Deployment.Name, r.Run.Scenario.Name, invariant.count, invariant.description)}
		}
	}
	return nil
}
