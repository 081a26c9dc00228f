package move

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Short names of the states of a move.
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

// sharePropagationTime is the time that a change of shares takes until it is in force at all
// entries, before orders may rely on it.
const sharePropagationTime = time.Second

// decisionInput is all that the next action of a move depends on.
type decisionInput struct {
	now    time.Time
	move   *configpb.Move
	timing Timing
	// containmentReason says why the new version is contained; empty: it is not.
	containmentReason string
	// health is the worst decision over the routes; why says which route it is of.
	health       health.Decision
	healthReason string
}

// actionKind is the kind of an action.
type actionKind int

const (
	actionWait actionKind = iota
	actionAppend
	actionLoad
	actionUnload
)

// action is what a driver is to do next. Orders that are done lead to progress.
type action struct {
	kind     actionKind
	progress *configpb.MoveProgress
	// version and artifact are what orders load or unload.
	version string
	// ignorePendingOrders says that progress is due even if orders are not done.
	ignorePendingOrders bool
}

// decide returns the next action of a move. It depends on nothing but the situation.
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

// currentStep returns the step in progress; its zero value is past the last one.
func (s decisionInput) currentStep() *configpb.MoveStep {
	if int(s.move.GetStep()) < len(s.move.GetSteps()) {
		return s.move.GetSteps()[s.move.GetStep()]
	}
	return &configpb.MoveStep{}
}

func (s decisionInput) timeInStep() time.Duration {
	return s.now.Sub(time.UnixMilli(s.move.GetChangedUnixMs()))
}

// stepDeadline returns when the step in progress must end at the latest, so that
// the steps after it and a reversal still have their shortest times.
func (s decisionInput) stepDeadline() time.Time {
	reserved := s.timing.Reversal
	for _, step := range s.move.GetSteps()[min(int(s.move.GetStep())+1, len(s.move.GetSteps())):] {
		reserved += millis(step.GetMinMs())
	}
	return time.UnixMilli(s.move.GetFinishByUnixMs()).Add(-reserved)
}

func (s decisionInput) unloading() bool {
	return s.currentStep().GetKind() == configpb.StepKind_STEP_KIND_UNLOAD
}

// reversalReason returns why the move must be taken back now, if it must.
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

// pendingReason says what the step in progress waits for.
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

// enterStep returns the progress that enters a step.
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

// prepare loads the new version, and enters the next step once that is done.
func (s decisionInput) prepare() action {
	if s.currentStep().GetKind() != configpb.StepKind_STEP_KIND_LOAD {
		return s.enterStep(s.move.GetStep())
	}
	next := s.enterStep(s.move.GetStep() + 1)
	return action{kind: actionLoad, progress: next.progress, version: s.move.GetToVersion()}
}

// advance ends a step at a share once its time has passed and its evidence is good.
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

// evidenceAllowsAdvance reports whether the evidence allows the next step. Only the canary
// needs a full measure of evidence; a route without requests holds up nothing
// later. At 100 % nothing is left to raise: only a containment matters.
func (s decisionInput) evidenceAllowsAdvance() bool {
	switch s.move.GetState() {
	case canary:
		return s.health == health.Healthy
	case ramping:
		return s.health != health.Faulty
	}
	return true
}

// reverse takes the share back, lets go of the new version, and ends the move.
func (s decisionInput) reverse() action {
	if s.move.GetShareBp() > 0 && s.unloading() {
		// The old version may be unloaded: it gets no request before it is back.
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

// unloadTimedOut reports whether a move must end though not every engine has let go
// of a version: that takes memory there, but no request goes to it any more.
func (s decisionInput) unloadTimedOut() bool {
	late := !s.now.Before(time.UnixMilli(s.move.GetFinishByUnixMs()).Add(-sharePropagationTime))
	return late || s.timeInStep() >= sharePropagationTime+s.timing.Unload
}

func millis(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }
