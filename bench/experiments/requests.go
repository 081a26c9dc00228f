// Package experiments owns the experiments on policy: whole deployments in
// virtual time, the system beside named baselines, one table for each. Its tests
// run them small; make targets run them at full size.
package experiments

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/cell"
)

// Engines of all deployments.
const (
	maxBatch       = 32
	reportLag      = 2 * time.Second
	tokensPerEvent = 8
	entryCount     = 3
	versionName    = "v1"
)

// Deployment is the size of a deployment.
type Deployment struct {
	Name string
	// Speeds of the engines: three generations.
	Speeds   []float64
	Services int
	// CheckFencing tells whether the engines check fencing numbers.
	CheckFencing bool
}

// Budapest and Ulaanbaatar have the sizes of today; Small is for every test run.
var (
	Budapest = Deployment{
		Name: "Budapest", Speeds: []float64{1, 1, 1, 1.5, 1.5, 1.5, 1.5, 2, 2, 2}, Services: 3, CheckFencing: true,
	}
	Ulaanbaatar = Deployment{
		Name: "Ulaanbaatar", Speeds: []float64{1, 1, 1, 1, 1.5, 1.5, 1.5, 1.5, 2, 2, 2, 2}, Services: 4,
	}
	Small = Deployment{Name: "Small", Speeds: []float64{1, 1.5, 2}, Services: 2, CheckFencing: true}
)

// Scenario is one load with its faults.
type Scenario struct {
	Name string
	// Load is the rate of arrivals as a part of the capacity; of a burst, the peak.
	Load float64
	// Burst makes the rate rise tenfold in 30 s to the load.
	Burst  bool
	Window time.Duration
	// Tail is how long requests go on arriving after the window without being counted,
	// so that those of the window meet the same load to their end.
	Tail time.Duration
	// Faults are started at a time.
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

// Scenarios are the loads and faults of the letter.
var Scenarios = []Scenario{
	{Name: "0.7x", Load: 0.7, Window: window},
	{Name: "1x", Load: 1, Window: window},
	{Name: "2x", Load: 2, Window: window, Tail: tail},
	{Name: "0.7x, one engine slows down", Load: 0.7, Window: window, Faults: slowEngineEvents},
	{Name: "0.7x, one engine is killed", Load: 0.7, Window: window, Faults: killEngineEvents},
	{Name: "burst to 2x in 30 s", Load: 2, Burst: true, Window: burstWindow},
}

// middleEngine is an engine of the middle generation.
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
	// Policy of a baseline; empty: the system.
	Policy cell.Policy
	// MaxConcurrency is the bound in the settings of the engines' sidecars; 0: the engines' batch.
	MaxConcurrency int
}

// Result is what a run showed.
type Result struct {
	Run        Run
	Report     cell.Report
	Operations cell.OperationReport
	// Capacity and Arrivals of the run.
	Capacity float64
	Arrivals int
}

// Do carries out the run. It must be called inside a synctest bubble.
func (r Run) Do() (Result, error) {
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
	rate := cell.Steady(peak)
	if r.Scenario.Burst {
		rate = cell.Burst(peak/burstRatio, burstStart)
	}
	return mix.Generate(r.Seed, rate, peak, r.Scenario.Window+r.Scenario.Tail)
}

// BrokenPromiseError says which promise a run broke.
type BrokenPromiseError struct{ Detail string }

func (e *BrokenPromiseError) Error() string { return e.Detail }

// Check returns an error when a run broke a promise that holds under any load.
func (r Result) Check() error {
	for _, invariant := range []struct {
		description string
		count       int
	}{
		{"answers of other requests", r.Report.Wrong},
		{"requests that were dispatched twice", r.Report.Doubled},
		{"requests refused as not run that an engine was given", r.Report.NotRunButSeen},
		{"operations that ran twice", r.Operations.Doubled},
		{"operations that were answered and not run", r.Operations.Lost},
	} {
		if invariant.count > 0 {
			return &BrokenPromiseError{Detail: fmt.Sprintf("%s, %s: %d %s",
				r.Run.Deployment.Name, r.Run.Scenario.Name, invariant.count, invariant.description)}
		}
	}
	return nil
}
