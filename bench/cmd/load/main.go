// Command load sends an open loop of requests in the mix of a deployment to real processes, and
// reports goodput and latencies by tier. It starts the deployment itself on loopback, or uses the
// running entries listed in a file.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/cell"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/bench/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// parameters holds the flags of the command.
type parameters struct {
	deployment, target, bin string
	fullSize                bool
	rate, factor            float64
	burst                   bool
	duration                time.Duration
	seed                    uint64
	operationEvery          int
	jsonFile, plotFile      string
}

func parse(args []string) (parameters, error) {
	var p parameters
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.StringVar(&p.deployment, "deployment", "budapest", "budapest or ulaanbaatar: started on loopback")
	flags.BoolVar(&p.fullSize, "today", false, "start the deployment at the size of today instead of small")
	flags.StringVar(&p.target, "target", "", "JSON file with entries, model, service, tiers and accounts; nothing is started")
	flags.StringVar(&p.bin, "bin", "bin", "directory of the binaries")
	flags.Float64Var(&p.rate, "rate", 0, "arrivals a second; 0: by -load")
	flags.Float64Var(&p.factor, "load", 0.7, "rate as a part of the capacity of the deployment that is started")
	flags.BoolVar(&p.burst, "burst", false, "begin at a tenth of the rate and rise to it within 30 s")
	flags.DurationVar(&p.duration, "duration", 30*time.Second, "time over which requests arrive")
	flags.Uint64Var(&p.seed, "seed", 1, "seed of the workload")
	flags.IntVar(&p.operationEvery, "operation-every", 10, "every n-th request is a keyed operation of the plain service; 0: none")
	flags.StringVar(&p.jsonFile, "json", "", "file for the result as JSON")
	flags.StringVar(&p.plotFile, "plot", "", "file for a plot as SVG")
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix("LOAD"))
	return p, err
}

func run(ctx context.Context, args []string) error {
	p, err := parse(args)
	if err != nil {
		return err
	}
	if p.target != "" {
		return p.driveTarget(ctx)
	}
	return p.driveDeployment(ctx)
}

// driveTarget sends requests to the running entries of the target file.
func (p parameters) driveTarget(ctx context.Context) error {
	data, err := os.ReadFile(p.target)
	if err != nil {
		return err
	}
	var target load.Target
	if err := json.Unmarshal(data, &target); err != nil {
		return errors.Wrap(err, p.target)
	}
	result := load.Run(ctx, p.options(target, p.rate))
	return p.write(result)
}

// driveDeployment starts a deployment, sends requests to it, and checks the runs at its backend
// servers.
func (p parameters) driveDeployment(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "lagoonlane-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(p.bin)
	if err != nil {
		return err
	}
	spec, err := p.spec(bin, dir)
	if err != nil {
		return err
	}
	d, err := deploy.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer d.Close()
	if _, err := d.Configure(ctx); err != nil {
		return err
	}
	rate := p.rate
	if rate == 0 {
		rate = p.factor * capacity(spec, p.seed)
	}
	result := load.Run(ctx, p.options(newTarget(d), rate))
	if err := result.CheckRuns(ctx, d); err != nil {
		return err
	}
	return p.write(result)
}

// UnknownDeploymentError reports the name of a deployment that doesn't exist.
type UnknownDeploymentError struct{ Name string }

func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q: budapest and ulaanbaatar exist", e.Name)
}

// spec returns the deployment to start. It returns *UnknownDeploymentError.
func (p parameters) spec(bin, dir string) (deploy.Spec, error) {
	specs := map[string]map[bool]func(bin, dir string) deploy.Spec{
		"budapest":    {false: deploy.Budapest, true: deploy.BudapestFullSize},
		"ulaanbaatar": {false: deploy.Ulaanbaatar, true: deploy.UlaanbaatarFullSize},
	}
	makeSpec := specs[p.deployment][p.fullSize]
	if makeSpec == nil {
		return deploy.Spec{}, errors.WithStack(&UnknownDeploymentError{Name: p.deployment})
	}
	spec := makeSpec(bin, dir)
	spec.LogLevel = "warn"
	return spec, nil
}

func capacity(spec deploy.Spec, seed uint64) float64 {
	var speeds []float64
	for _, engine := range spec.Engines {
		speeds = append(speeds, engine.Speed)
	}
	return cell.DefaultMix().Capacity(seed, speeds, deploy.EngineBatch)
}

func newTarget(d *deploy.Deployment) load.Target {
	target := load.Target{
		Entries: d.EntryURLs(), Model: d.Spec.ModelRoute, Service: d.Spec.ServiceName, Tiers: d.Spec.Tiers,
	}
	for _, name := range d.Spec.Accounts {
		target.Accounts = append(target.Accounts, load.Account{Name: name, Key: d.AccountKeys[name]})
	}
	return target
}

func (p parameters) options(target load.Target, rate float64) load.Options {
	arrivals := cell.ConstantRate(rate)
	if p.burst {
		arrivals = cell.BurstRate(rate/burstRatio, 0)
	}
	mix := cell.DefaultMix()
	return load.Options{
		Target: target, Arrivals: mix.Generate(p.seed, arrivals, rate, p.duration), Window: p.duration,
		OperationEvery: p.operationEvery, Progress: os.Stderr,
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}
}

// burstRatio is the ratio of the peak rate of a burst to its initial rate.
const burstRatio = 10

// maxIdleConnections is the maximum number of idle connections kept to each entry.
const maxIdleConnections = 512
