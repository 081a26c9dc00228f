package load

import (
	"context"
	"fmt"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// CheckRuns counts, at the backend servers of a deployment, the requests that ran
// more than once and those that were refused as not run and yet were seen.
func (r *Result) CheckRuns(ctx context.Context, d *deploy.Deployment) error {
	runs := map[string]int{}
	for i := range d.Spec.Engines {
		if err := addRuns(ctx, d, fmt.Sprintf("engine-%d", i+1), "/users", runs); err != nil {
			return err
		}
	}
	for i := range d.Spec.Services {
		if err := addRuns(ctx, d, fmt.Sprintf("%s-%d", d.Spec.ServiceName, i+1), "/runs", runs); err != nil {
			return err
		}
	}
	for id, n := range runs {
		if n > 1 {
			r.Doubled++
		}
		if r.Ended[id] == caller.OutcomeNotRun {
			r.NotRunButSeen++
		}
	}
	return nil
}

func addRuns(ctx context.Context, d *deploy.Deployment, name, path string, into map[string]int) error {
	runs := map[string]int{}
	if err := d.GetJSON(ctx, name, path, &runs); err != nil {
		return err
	}
	for id, n := range runs {
		into[id] += n
	}
	return nil
}
