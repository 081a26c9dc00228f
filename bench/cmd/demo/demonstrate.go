package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// Parameters of the demo's move.
const (
	moveID       = "demo"
	moveFrom     = "v1"
	moveTo       = "v2"
	moveFinishBy = "40s"
)

// FailedError reports a guarantee that did not hold in the demo.
type FailedError struct{ Detail string }

func (e *FailedError) Error() string { return e.Detail }

func failed(format string, args ...any) error {
	return &FailedError{Detail: fmt.Sprintf(format, args...)}
}

// runDemo runs all steps of the demo.
func runDemo(ctx context.Context, bin, dir string, out io.Writer) error {
	started := time.Now()
	deployments, err := startBoth(ctx, bin, dir)
	defer closeAll(deployments)
	if err != nil {
		return err
	}
	step(out, started, "both deployments are up and configured")
	tallies := make([]*tally, len(deployments))
	for i, d := range deployments {
		tallies[i] = newTally()
		if err := sendEachKind(ctx, d, tallies[i]); err != nil {
			return err
		}
	}
	step(out, started, "streamed, plain and service requests were answered through all entries")
	if err := moveUnderTraffic(ctx, deployments, tallies, out, started); err != nil {
		return err
	}
	step(out, started, "the move is done")
	if err := shutDown(ctx, deployments); err != nil {
		return err
	}
	step(out, started, "all processes were shut down gracefully")
	printTable(out, deployments, tallies)
	return nil
}

func step(out io.Writer, started time.Time, text string) {
	fmt.Fprintf(out, "%5.1fs  %s\n", time.Since(started).Seconds(), text)
}

// moveUnderTraffic moves the first deployment between versions while callers send requests to
// both.
func moveUnderTraffic(
	ctx context.Context, deployments []*deploy.Deployment, tallies []*tally, out io.Writer, started time.Time,
) error {
	traffic, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer func() {
		stop()
		callers.Wait()
	}()
	for i, d := range deployments {
		startCallers(traffic, ctx, &callers, d, tallies[i])
	}
	deployment := deployments[0]
	if err := move(ctx, deployment, out, started); err != nil {
		return err
	}
	tallies[0].resetVersions()
	// The wait collects enough answers to see which versions serve after the move.
	if err := sleep(ctx, afterMoveWait); err != nil {
		return err
	}
	stop()
	callers.Wait()
	if versions := tallies[0].recentVersions(); len(versions) != 1 || versions[moveTo] == 0 {
		return failed("after the move the answers came from %v", versions)
	}
	for i, d := range deployments {
		if err := tallies[i].check(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// move plans the move, confirms the plan and watches the move until it ends.
func move(ctx context.Context, d *deploy.Deployment, out io.Writer, started time.Time) error {
	plan := filepath.Join(d.Spec.Dir, "plan.json")
	text, err := d.Ctl(ctx, "move", "plan", "--id", moveID, "--pool", d.Spec.EnginePool,
		"--from", moveFrom, "--to", moveTo, "--finish-by", moveFinishBy, "--file", plan)
	if err != nil {
		return err
	}
	step(out, started, "plan of the move:")
	fmt.Fprint(out, text)
	if _, err := d.Ctl(ctx, "move", "confirm", plan); err != nil {
		return err
	}
	step(out, started, "the plan is confirmed")
	// The watch uses another entry, because every entry can report the move.
	urls := d.EntryURLs()
	text, err = d.CtlAt(ctx, urls[len(urls)-1], "move", "watch", moveID)
	fmt.Fprint(out, text)
	return err
}

// shutDown gracefully stops entries and sidecars and checks their exit codes.
func shutDown(ctx context.Context, deployments []*deploy.Deployment) error {
	for _, d := range deployments {
		codes, err := d.Shutdown(ctx)
		if err != nil {
			return err
		}
		for name, code := range codes {
			if code != 0 {
				return failed("%s of %s exited with %d", name, d.Spec.Name, code)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
