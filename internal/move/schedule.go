package move

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Fractions of the slack time that a plan assigns to the canary and to the watch step. The steps
// of the ramp share the rest.
const (
	canaryFraction = 0.3
	watchFraction  = 0.4
)

// schedule combines the steps and distributes the time until the finish time over them. It
// returns *command.InfeasibleError if the time is too short.
func (p *Planner) schedule(intent command.Intent, loads []*configpb.MoveStep, loadTime, minCanary time.Duration, unload *configpb.MoveStep) ([]*configpb.MoveStep, error) {
	t := p.timing
	shortest := minCanary + time.Duration(len(rampSharesBP))*t.MinStep + t.MinWatch
	fixedTime := loadTime + t.Reversal
	if unload != nil {
		fixedTime += t.Unload
	}
	now := time.Now()
	slack := intent.FinishBy.Sub(now) - fixedTime - shortest
	if slack < 0 {
		return nil, p.tooLateError(intent, now, loadTime, minCanary, fixedTime+shortest)
	}
	steps := append(loads, shareStep(configpb.StepKind_STEP_KIND_SHARE, canaryShareBP,
		minCanary, plannedDuration(minCanary, t.MaxCanary, slack, canaryFraction)))
	stepFraction := (1 - canaryFraction - watchFraction) / float64(len(rampSharesBP))
	for _, share := range rampSharesBP {
		steps = append(steps, shareStep(configpb.StepKind_STEP_KIND_SHARE, share,
			t.MinStep, plannedDuration(t.MinStep, t.MaxStep, slack, stepFraction)))
	}
	steps = append(steps, shareStep(configpb.StepKind_STEP_KIND_WATCH, fullShareBP,
		t.MinWatch, plannedDuration(t.MinWatch, t.MaxWatch, slack, watchFraction)))
	if unload != nil {
		unload.PlannedMs = uint64(t.Unload.Milliseconds())
		steps = append(steps, unload)
	}
	return steps, nil
}

// plannedDuration adds a fraction of the slack to the shortest time, up to the longest time.
func plannedDuration(shortest, longest, slack time.Duration, fraction float64) time.Duration {
	return max(shortest, min(shortest+time.Duration(fraction*float64(slack)), longest))
}

// shareStep returns a step at a share with its minimum and planned times.
func shareStep(kind configpb.StepKind, share uint32, shortest, planned time.Duration) *configpb.MoveStep {
	return &configpb.MoveStep{
		Kind: kind, ShareBp: share,
		MinMs: uint64(shortest.Milliseconds()), PlannedMs: uint64(planned.Milliseconds()),
	}
}

// tooLateError lists the times that the move needs and the earliest time at which it could
// finish.
func (p *Planner) tooLateError(intent command.Intent, now time.Time, loadTime, minCanary, total time.Duration) error {
	err := infeasible(intent, "it needs %v: %v to load, %v of canary evidence, %v to ramp and watch, %v kept for a reversal; there are %v",
		total.Round(time.Second), loadTime.Round(time.Second), minCanary.Round(time.Second),
		(time.Duration(len(rampSharesBP))*p.timing.MinStep + p.timing.MinWatch).Round(time.Second),
		p.timing.Reversal, intent.FinishBy.Sub(now).Round(time.Second))
	var infeasibleErr *command.InfeasibleError
	if errors.As(err, &infeasibleErr) {
		// The extra second covers the time until the plan is confirmed.
		infeasibleErr.EarliestFinish = now.Add(total + time.Second)
	}
	return err
}
