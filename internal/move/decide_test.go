package move

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// drawPlan draws a plan: load steps, shares that rise to 100 %, and optionally an unload step.
func drawPlan(t *rapid.T) []*configpb.MoveStep {
	var steps []*configpb.MoveStep
	for range rapid.IntRange(0, 3).Draw(t, "loads") {
		steps = append(steps, &configpb.MoveStep{Kind: configpb.StepKind_STEP_KIND_LOAD})
	}
	for _, share := range append([]uint32{canaryShareBP}, rampSharesBP...) {
		steps = append(steps, shareStep(configpb.StepKind_STEP_KIND_SHARE, share, 1000, 2000))
	}
	steps = append(steps, shareStep(configpb.StepKind_STEP_KIND_WATCH, fullShareBP, 1000, 2000))
	if rapid.Bool().Draw(t, "unload") {
		steps = append(steps, &configpb.MoveStep{Kind: configpb.StepKind_STEP_KIND_UNLOAD, ShareBp: fullShareBP})
	}
	return steps
}

// drawInput draws an input that a move can produce.
func drawInput(t *rapid.T) decisionInput {
	steps := drawPlan(t)
	index := rapid.IntRange(0, len(steps)-1).Draw(t, "step")
	step := steps[index]
	now := time.UnixMilli(1_700_000_000_000)
	move := &configpb.Move{
		Id: "m-1", Steps: steps, Step: uint32(index), ShareBp: step.GetShareBp(),
		State:           drawState(t, step),
		ChangedUnixMs:   now.Add(-time.Duration(rapid.IntRange(0, 10000).Draw(t, "in step")) * time.Millisecond).UnixMilli(),
		FinishByUnixMs:  now.Add(time.Duration(rapid.IntRange(-5000, 60000).Draw(t, "left")) * time.Millisecond).UnixMilli(),
		ConfirmedUnixMs: now.Add(-time.Minute).UnixMilli(),
	}
	return decisionInput{
		now: now, move: move, timing: Timing{}.withDefaults(),
		containmentReason: rapid.SampledFrom([]string{"", "contained: errors"}).Draw(t, "contained"),
		health:            rapid.SampledFrom([]health.Decision{health.Undecided, health.Healthy, health.Faulty}).Draw(t, "health"),
	}
}

// drawState draws the state of a move in a step.
func drawState(t *rapid.T, step *configpb.MoveStep) configpb.MoveState {
	if rapid.IntRange(0, 4).Draw(t, "reversing") == 0 {
		return reversing
	}
	switch {
	case step.GetKind() == configpb.StepKind_STEP_KIND_LOAD:
		return preparing
	case step.GetShareBp() <= canaryShareBP:
		return canary
	case step.GetShareBp() < fullShareBP:
		return ramping
	}
	return watching
}

// TestDecideNeverRaisesShareWithoutEvidence guards against raising a share of a contained,
// reversing or insufficiently tested version, and against skipping a step.
func TestDecideNeverRaisesShareWithoutEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		next := decide(input)
		if next.progress == nil {
			return
		}
		raises := next.progress.GetShareBp() > input.move.GetShareBp()
		switch {
		case raises && input.containmentReason != "":
			t.Fatalf("raised the share of a contained version: %v", next.progress)
		case raises && input.move.GetState() == reversing:
			t.Fatalf("raised the share during a reversal: %v", next.progress)
		case raises && input.move.GetState() == canary && input.health != health.Healthy:
			t.Fatalf("left the canary step without a healthy verdict: %v", next.progress)
		case raises && input.move.GetState() == ramping && input.health == health.Faulty:
			t.Fatalf("raised the share of a version judged faulty: %v", next.progress)
		case raises && next.progress.GetStep() != input.move.GetStep()+1:
			t.Fatalf("skipped a step: %v", next.progress)
		}
	})
}

// TestDecideReversesLateOrContainedMove checks that a move that is late or whose version is
// contained is reversed at once, and that a reversal always records a share of 0.
func TestDecideReversesLateOrContainedMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		next := decide(input)
		exposed := slices.Contains([]configpb.MoveState{preparing, canary, ramping}, input.move.GetState())
		late := !input.now.Before(input.stepDeadline())
		if exposed && (late || input.containmentReason != "") {
			if next.progress.GetState() != reversing || next.progress.GetShareBp() != 0 || next.kind != actionAppend {
				t.Fatalf("did not reverse the move at once: %v", next)
			}
		}
		if input.move.GetState() == reversing && next.progress != nil && next.progress.GetShareBp() != 0 {
			t.Fatalf("reversal with a share above 0: %v", next.progress)
		}
	})
}
