package command

import (
	"net/http"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// planMove returns a plan for an intent. The plan is a command that the client sends unchanged to
// /admin/v1/moves to confirm the move.
func (s *server) planMove(w http.ResponseWriter, r *http.Request, _ string) {
	intent := operatorapi.Intent{}
	if err := operatorapi.ReadJSON(r, &intent); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	if s.options.Planner == nil {
		operatorapi.WriteProblem(w, &NoPlannerError{})
		return
	}
	if intent.ID == "" {
		intent.ID = "m-" + newID()[:8]
	}
	plan, revisions, err := s.options.Planner.Plan(r.Context(), Intent(intent))
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	operatorapi.WriteMessage(w, &configpb.Command{
		Change:         &configpb.Command_ConfirmMove{ConfirmMove: plan},
		RouteRevisions: revisions,
	})
}

// confirmMove submits a plan that planMove returned. It is idempotent by the id of the move.
func (s *server) confirmMove(w http.ResponseWriter, r *http.Request, operator string) {
	plan := &configpb.Command{}
	if err := operatorapi.ReadMessage(r, plan); err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	if plan.GetConfirmMove() == nil {
		operatorapi.WriteProblem(w, &operatorapi.BadRequestError{Field: "confirm_move"})
		return
	}
	s.submit(w, r, operator, &configpb.Command{Change: plan.GetChange(), RouteRevisions: plan.GetRouteRevisions()})
}

func (s *server) reverseMove(w http.ResponseWriter, r *http.Request, operator string) {
	id := r.PathValue("id")
	if s.options.Config.Current().GetMoves()[id] == nil {
		operatorapi.WriteProblem(w, &operatorapi.NotFoundError{Entity: config.MoveEntity(id)})
		return
	}
	s.submit(w, r, operator, &configpb.Command{Change: &configpb.Command_ReverseMove{ReverseMove: id}})
}

// NoPlannerError reports that this process cannot plan moves.
type NoPlannerError struct{}

func (e *NoPlannerError) Error() string { return "this process makes no plans of moves" }
