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
func decide(s decisionInput) action {
	if s.move.GetState() == reversing {
		return s.reverse()
	}
	if reason := s.reversalReason(); reason != "" {
		return s.startReversal(reason)
	}
	switch s.move.GetState() {
	case confirmed:
		return s.enterStep(0)
	case preparing:
		return s.prepare()
	case canary, ramping, watching:
		return s.advance()
	}
	return action{}
}

// currentStep returns the step in progress, or an empty step after the last one.
func (s decisionInput) currentStep() *configpb.MoveStep {
	if int(s.move.GetStep()) < len(s.move.GetSteps()) {
		return s.move.GetSteps()[s.move.GetStep()]
	}
	return &configpb.MoveStep{}
}

// timeInStep returns the time since the last recorded progress of the move.
func (s decisionInput) timeInStep() time.Duration {
	return s.now.Sub(time.UnixMilli(s.move.GetChangedUnixMs()))
}

// stepDeadline returns the latest end of the step in progress that still leaves the minimum times
// of the steps after it and the time of a reversal.
func (s decisionInput) stepDeadline() time.Time {
	reserved := s.timing.Reversal
	for _, step := range s.move.GetSteps()[min(int(s.move.GetStep())+1, len(s.move.GetSteps())):] {
		reserved += millis(step.GetMinMs())
	}
	return time.UnixMilli(s.move.GetFinishByUnixMs()).Add(-reserved)
}

// unloading reports whether the step in progress unloads the old version.
func (s decisionInput) unloading() bool {
	return s.currentStep().GetKind() == configpb.StepKind_STEP_KIND_UNLOAD
}

// reversalReason returns why the move must be reversed now, or "" if it need not be.
func (s decisionInput) reversalReason() string {
	if s.unloading() && s.timeInStep() > sharePropagationTime {
		return ""
	}
	if s.containmentReason != "" {
		return s.containmentReason
	}
	if s.unloading() || s.now.Before(s.stepDeadline()) {
		return ""
	}
	if s.move.GetState() == watching {
		return ""
	}
	return "it can't be finished by its time any more: " + s.pendingReason()
}

// pendingReason describes what the step in progress is waiting for.
func (s decisionInput) pendingReason() string {
	switch {
	case s.move.GetState() == confirmed:
		return "it was not begun"
	case s.move.GetState() == preparing:
		return fmt.Sprintf("load step %d isn't done", s.move.GetStep())
	case s.healthReason != "":
		return s.healthReason
	}
	return fmt.Sprintf("step %d isn't done", s.move.GetStep())
}

func (s decisionInput) startReversal(reason string) action {
	return s.progressTo(reversing, s.move.GetStep(), 0, reason)
}

func (s decisionInput) progressTo(state configpb.MoveState, step, share uint32, reason string) action {
	return action{kind: actionAppend, progress: &configpb.MoveProgress{
		MoveId: s.move.GetId(), State: state, Step: step, ShareBp: share, Reason: reason,
	}}
}

// enterStep returns the action that records the start of a step.
func (s decisionInput) enterStep(index uint32) action {
	if int(index) >= len(s.move.GetSteps()) {
		return s.progressTo(done, index, fullShareBP, "")
	}
	step := s.move.GetSteps()[index]
	switch {
	case step.GetKind() == configpb.StepKind_STEP_KIND_LOAD:
		return s.progressTo(preparing, index, 0, "")
	case s.move.GetState() == confirmed:
		return s.progressTo(preparing, index, 0, "")
	case s.move.GetState() == preparing:
		return s.progressTo(canary, index, min(step.GetShareBp(), canaryShareBP), "")
	case step.GetShareBp() < fullShareBP:
		return s.progressTo(ramping, index, step.GetShareBp(), "")
	case s.move.GetState() == canary:
		return s.progressTo(ramping, index, fullShareBP, "")
	default:
		return s.progressTo(watching, index, fullShareBP, "")
	}
}

// prepare loads the new version and enters the next step once it is loaded.
func (s decisionInput) prepare() action {
	if s.currentStep().GetKind() != configpb.StepKind_STEP_KIND_LOAD {
		return s.enterStep(s.move.GetStep())
	}
	next := s.enterStep(s.move.GetStep() + 1)
	return action{kind: actionLoad, progress: next.progress, version: s.move.GetToVersion()}
}

// advance ends the current step once its time has passed and the evidence permits it.
func (s decisionInput) advance() action {
	if s.unloading() {
		if s.timeInStep() <= sharePropagationTime {
			return action{}
		}
		next := s.enterStep(s.move.GetStep() + 1)
		return action{kind: actionUnload, progress: next.progress, version: s.move.GetFromVersion(), ignorePendingOrders: s.unloadTimedOut()}
	}
	due := s.timeInStep() >= millis(s.currentStep().GetPlannedMs()) || !s.now.Before(s.stepDeadline().Add(-s.timing.Tick))
	if s.timeInStep() < millis(s.currentStep().GetMinMs()) || !due || !s.evidenceAllowsAdvance() {
		return action{}
	}
	if s.move.GetState() == ramping && s.currentStep().GetShareBp() == fullShareBP {
		return s.progressTo(watching, s.move.GetStep(), fullShareBP, "")
	}
	return s.enterStep(s.move.GetStep() + 1)
}

// evidenceAllowsAdvance reports whether the evidence permits the next step. The canary requires
// the full number of requests. Later steps only require that the version isn't faulty, so that a
// route without requests doesn't delay them. At 100 % there is no share left to raise, and only a
// containment ends the step.
func (s decisionInput) evidenceAllowsAdvance() bool {
	switch s.move.GetState() {
	case canary:
		return s.health == health.Healthy
	case ramping:
		return s.health != health.Faulty
	}
	return true
}

// reverse sets the share to 0, unloads the new version and ends the move.
func (s decisionInput) reverse() action {
	if s.move.GetShareBp() > 0 && s.unloading() {
		// The old version may be unloaded already. It must be loaded again before it gets
		// requests.
		restored := s.progressTo(reversing, s.move.GetStep(), 0, "")
		return action{kind: actionLoad, progress: restored.progress, version: s.move.GetFromVersion()}
	}
	if s.move.GetShareBp() > 0 {
		return s.progressTo(reversing, s.move.GetStep(), 0, "")
	}
	if s.timeInStep() < sharePropagationTime {
		return action{}
	}
	end := s.progressTo(reversed, s.move.GetStep(), 0, "")
	end.kind, end.version = actionUnload, s.move.GetToVersion()
	end.ignorePendingOrders = s.unloadTimedOut()
	return end
}

// unloadTimedOut reports whether a move must end although some engines still hold a version. The
// version occupies memory there, but no request is sent to it any more.
func (s decisionInput) unloadTimedOut() bool {
	late := !s.now.Before(time.UnixMilli(s.move.GetFinishByUnixMs()).Add(-sharePropagationTime))
	return late || s.timeInStep() >= sharePropagationTime+s.timing.Unload
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
