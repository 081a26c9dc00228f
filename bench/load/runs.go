package load

import (
	"context"
	"fmt"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// CheckRuns compares the result with the runs that the deployment's backend servers
// counted. It sets Doubled to the number of requests that ran more than once, and
// NotRunButDispatched to the number of requests that a server received although they were
// refused as not run. It returns an error if a backend server can't be queried.
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
		if r.OutcomeByID[id] == caller.OutcomeNotRun {
			r.NotRunButDispatched++
		}
	}
	return nil
}

// addRuns adds the runs by request id of the named backend server to total.
func addRuns(ctx context.Context, d *deploy.Deployment, name, path string, total map[string]int) error {
	runs := map[string]int{}
	if err := d.GetJSON(ctx, name, path, &runs); err != nil {
		return err
	}
	for id, n := range runs {
		total[id] += n
	}
	return nil
}
