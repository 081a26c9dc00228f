// Command capacity starts a deployment on loopback, measures the CPU time and memory of its
// entries and sidecars at several loads, and prints the measurements and the fitted slopes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"github.com/lagoonlane/lagoonlane/bench/capacity"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// loads lists the measured loads.
var loads = []capacity.Load{
	{},
	{RequestsPerSecond: 25, Tokens: 10},
	{RequestsPerSecond: 100, Tokens: 10},
	{RequestsPerSecond: 200, Tokens: 10},
	{RequestsPerSecond: 25, Tokens: 200},
	{RequestsPerSecond: 50, Tokens: 200},
	{RequestsPerSecond: 100, Tokens: 100},
	{ChangesPerSecond: 4},
	{ChangesPerSecond: 8},
}

// engineSpeed is high enough that the engines are not the bottleneck.
const engineSpeed = 16

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("capacity", flag.ContinueOnError)
	binDir := flags.String("bin", "bin", "directory of the binaries lagoonlane, lagoonctl and standin")
	window := flags.Duration("window", 15*time.Second, "time over which each load is measured")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("CAPACITY")); err != nil {
		return err
	}
	bin, err := filepath.Abs(*binDir)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "lagoonlane-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	spec := deploy.Budapest(bin, dir)
	for i := range spec.Engines {
		spec.Engines[i].Speed = engineSpeed
	}
	d, err := deploy.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer d.Close()
	if _, err := d.Configure(ctx); err != nil {
		return err
	}
	return measureAll(ctx, d, *window)
}

func measureAll(ctx context.Context, d *deploy.Deployment, window time.Duration) error {
	points := map[platform.Role][]capacity.Point{}
	fmt.Println("role     requests/s  tokens/s  changes/s  cpu s/s  largest resident MB")
	for _, load := range loads {
		measured, err := capacity.Measure(ctx, d, load, window)
		if err != nil {
			return err
		}
		for _, role := range capacity.Roles {
			p := measured[role]
			points[role] = append(points[role], p)
			fmt.Printf("%-8s %10.1f %9.0f %10.2f %8.4f %20.1f\n", role, p.Rates[0], p.Rates[1], p.Rates[2], p.CPU, float64(p.ResidentBytes)/1e6)
		}
	}
	for _, role := range capacity.Roles {
		if err := printFits(d, role, points[role]); err != nil {
			return err
		}
	}
	return nil
}

// printFits prints the fitted slopes of a role for all its processes together.
func printFits(d *deploy.Deployment, role platform.Role, points []capacity.Point) error {
	usage, err := capacity.ReadUsage(d, role)
	if err != nil {
		return err
	}
	traffic, err := capacity.NewFit(points, capacity.RateRequests, capacity.RateTokens)
	if err != nil {
		return err
	}
	changes, err := capacity.NewFit(points, capacity.RateChanges)
	if err != nil {
		return err
	}
	fmt.Printf("%s, %d processes: %.0f µs a request, %.1f µs a token (largest residual %.4f s/s)\n",
		role, usage.Processes, traffic.Slopes[0]*microsecondsPerSecond, traffic.Slopes[1]*microsecondsPerSecond, traffic.Residual)
	fmt.Printf("%s, %d processes: idle %.4f s/s, %.0f µs a change (largest residual %.4f s/s)\n",
		role, usage.Processes, changes.Idle, changes.Slopes[0]*microsecondsPerSecond, changes.Residual)
	return nil
}

const microsecondsPerSecond = 1e6
