package move

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// States of a move, under short names.
const (
	confirmed = configpb.MoveState_MOVE_STATE_CONFIRMED
	preparing = configpb.MoveState_MOVE_STATE_PREPARING
	canary    = configpb.MoveState_MOVE_STATE_CANARY
	ramping   = configpb.MoveState_MOVE_STATE_RAMPING
	watching  = configpb.MoveState_MOVE_STATE_WATCHING
	done      = configpb.MoveState_MOVE_STATE_DONE
	reversing = configpb.MoveState_MOVE_STATE_REVERSING
	reversed  = configpb.MoveState_MOVE_STATE_REVERSED
)

// sharePropagationTime is how long a change of shares takes to reach every entry. Orders that
// depend on the change are sent only after it.
const sharePropagationTime = time.Second

// decisionInput holds everything that determines the next action of a move.
type decisionInput struct {
	now    time.Time
	move   *configpb.Move
	timing Timing
	// containmentReason is the reason why the new version is contained; empty if it is not.
	containmentReason string
	// health is the worst decision over the routes; healthReason names the route and the cause.
	health       health.Decision
	healthReason string
}

// actionKind distinguishes what the driver does for an action.
type actionKind int

const (
	actionWait actionKind = iota
	actionAppend
	actionLoad
	actionUnload
)

// action is the next action of a driver. When its orders are done, its progress is appended.
type action struct {
	kind     actionKind
	progress *configpb.MoveProgress
	// version is the version that the orders load or unload.
	version string
	// ignorePendingOrders makes the driver append progress even if orders are pending.
	ignorePendingOrders bool
}

// decide returns the next action of a move. It is a pure function of its input.
func decide(in decisionInput) action {
	if in.move.GetState() == reversing {
		return in.reverse()
	}
	if reason := in.reversalReason(); reason != "" {
		return in.startReversal(reason)
	}
	switch in.move.GetState() {
	case confirmed:
		return in.enterStep(0)
	case preparing:
		return in.prepare()
	case canary, ramping, watching:
		return in.advance()
	}
	return action{}
}

// currentStep returns the step in progress, or an empty step after the last one.
func (in decisionInput) currentStep() *configpb.MoveStep {
	if int(in.move.GetStep()) < len(in.move.GetSteps()) {
		return in.move.GetSteps()[in.move.GetStep()]
	}
	return &configpb.MoveStep{}
}

// timeInStep returns the time since the last recorded progress of the move.
func (in decisionInput) timeInStep() time.Duration {
	return in.now.Sub(time.UnixMilli(in.move.GetChangedUnixMs()))
}

// stepDeadline returns the latest end of the step in progress that still leaves the minimum times
// of the steps after it and the time of a reversal.
func (in decisionInput) stepDeadline() time.Time {
	reserved := in.timing.Reversal
	for _, step := range in.move.GetSteps()[min(int(in.move.GetStep())+1, len(in.move.GetSteps())):] {
		reserved += millis(step.GetMinMs())
	}
	return time.UnixMilli(in.move.GetFinishByUnixMs()).Add(-reserved)
}

// unloading reports whether the step in progress unloads the old version.
func (in decisionInput) unloading() bool {
	return in.currentStep().GetKind() == configpb.StepKind_STEP_KIND_UNLOAD
}

// reversalReason returns why the move must be reversed now, or "" if it need not be.
func (in decisionInput) reversalReason() string {
	if in.unloading() && in.timeInStep() > sharePropagationTime {
		return ""
	}
	if in.containmentReason != "" {
		return in.containmentReason
	}
	if in.unloading() || in.now.Before(in.stepDeadline()) {
		return ""
	}
	if in.move.GetState() == watching {
		return ""
	}
	return "it can't be finished by its time any more: " + in.pendingReason()
}

// pendingReason describes what the step in progress is waiting for.
func (in decisionInput) pendingReason() string {
	switch {
	case in.move.GetState() == confirmed:
		return "it was not begun"
	case in.move.GetState() == preparing:
		return fmt.Sprintf("load step %d isn't done", in.move.GetStep())
	case in.healthReason != "":
		return in.healthReason
	}
	return fmt.Sprintf("step %d isn't done", in.move.GetStep())
}

func (in decisionInput) startReversal(reason string) action {
	return in.progressTo(reversing, in.move.GetStep(), 0, reason)
}

func (in decisionInput) progressTo(state configpb.MoveState, step, share uint32, reason string) action {
	return action{kind: actionAppend, progress: &configpb.MoveProgress{
		MoveId: in.move.GetId(), State: state, Step: step, ShareBp: share, Reason: reason,
	}}
}

// enterStep returns the action that records the start of a step.
func (in decisionInput) enterStep(index uint32) action {
	if int(index) >= len(in.move.GetSteps()) {
		return in.progressTo(done, index, fullShareBP, "")
	}
	step := in.move.GetSteps()[index]
	switch {
	case step.GetKind() == configpb.StepKind_STEP_KIND_LOAD:
		return in.progressTo(preparing, index, 0, "")
	case in.move.GetState() == confirmed:
		return in.progressTo(preparing, index, 0, "")
	case in.move.GetState() == preparing:
		return in.progressTo(canary, index, min(step.GetShareBp(), canaryShareBP), "")
	case step.GetShareBp() < fullShareBP:
		return in.progressTo(ramping, index, step.GetShareBp(), "")
	case in.move.GetState() == canary:
		return in.progressTo(ramping, index, fullShareBP, "")
	default:
		return in.progressTo(watching, index, fullShareBP, "")
	}
}

// prepare loads the new version and enters the next step once it is loaded.
func (in decisionInput) prepare() action {
	if in.currentStep().GetKind() != configpb.StepKind_STEP_KIND_LOAD {
		return in.enterStep(in.move.GetStep())
	}
	next := in.enterStep(in.move.GetStep() + 1)
	return action{kind: actionLoad, progress: next.progress, version: in.move.GetToVersion()}
}

// advance ends the current step once its time has passed and the evidence permits it.
func (in decisionInput) advance() action {
	if in.unloading() {
		if in.timeInStep() <= sharePropagationTime {
			return action{}
		}
		next := in.enterStep(in.move.GetStep() + 1)
		return action{kind: actionUnload, progress: next.progress, version: in.move.GetFromVersion(), ignorePendingOrders: in.unloadTimedOut()}
	}
	due := in.timeInStep() >= millis(in.currentStep().GetPlannedMs()) || !in.now.Before(in.stepDeadline().Add(-in.timing.Tick))
	if in.timeInStep() < millis(in.currentStep().GetMinMs()) || !due || !in.evidenceAllowsAdvance() {
		return action{}
	}
	if in.move.GetState() == ramping && in.currentStep().GetShareBp() == fullShareBP {
		return in.progressTo(watching, in.move.GetStep(), fullShareBP, "")
	}
	return in.enterStep(in.move.GetStep() + 1)
}

// evidenceAllowsAdvance reports whether the evidence permits the next step. The canary requires
// the full number of requests. Later steps only require that the version isn't faulty, so that a
// route without requests doesn't delay them. At 100 % there is no share left to raise, and only a
// containment ends the step.
func (in decisionInput) evidenceAllowsAdvance() bool {
	switch in.move.GetState() {
	case canary:
		return in.health == health.Healthy
	case ramping:
		return in.health != health.Faulty
	}
	return true
}

// reverse sets the share to 0, unloads the new version and ends the move.
func (in decisionInput) reverse() action {
	if in.move.GetShareBp() > 0 && in.unloading() {
		// The old version may be unloaded already. It must be loaded again before it gets
		// requests.
		restored := in.progressTo(reversing, in.move.GetStep(), 0, "")
		return action{kind: actionLoad, progress: restored.progress, version: in.move.GetFromVersion()}
	}
	if in.move.GetShareBp() > 0 {
		return in.progressTo(reversing, in.move.GetStep(), 0, "")
	}
	if in.timeInStep() < sharePropagationTime {
		return action{}
	}
	end := in.progressTo(reversed, in.move.GetStep(), 0, "")
	end.kind, end.version = actionUnload, in.move.GetToVersion()
	end.ignorePendingOrders = in.unloadTimedOut()
	return end
}

// unloadTimedOut reports whether a move must end although some engines still hold a version. The
// version occupies memory there, but no request is sent to it any more.
func (in decisionInput) unloadTimedOut() bool {
	late := !in.now.Before(time.UnixMilli(in.move.GetFinishByUnixMs()).Add(-sharePropagationTime))
	return late || in.timeInStep() >= sharePropagationTime+in.timing.Unload
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
