package query

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
)

const (
	defaultWatchWait = 30 * time.Second
	maxWatchWait     = time.Minute
)

// watchMove waits until a move has a newer revision than a given one or the wait time has
// passed. It responds with the current move.
func (s *server) watchMove(w http.ResponseWriter, r *http.Request, _ string) {
	revision, wait, err := parseWatch(r)
	if err != nil {
		operatorapi.WriteProblem(w, err)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	id := r.PathValue("id")
	entity := config.MoveEntity(id)
	for waiting := true; waiting; {
		changed := s.options.Config.Changed()
		if s.options.Config.Current().GetRevisions()[entity] > revision {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	state := s.options.Config.Current()
	move := state.GetMoves()[id]
	if move == nil {
		operatorapi.WriteProblem(w, &operatorapi.NotFoundError{Entity: entity})
		return
	}
	writeEntity(w, state, entity, move)
}

func parseWatch(r *http.Request) (revision uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	wait = defaultWatchWait
	if text := query.Get("revision"); text != "" {
		if revision, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, &operatorapi.BadRequestError{Field: "revision", Cause: err}
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 {
			return 0, 0, &operatorapi.BadRequestError{Field: "wait", Cause: err}
		}
	}
	return revision, min(wait, maxWatchWait), nil
}
