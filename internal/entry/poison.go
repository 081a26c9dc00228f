package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/poison"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// crashInterval is the time in which faults of one backend server count as one crash. An engine takes longer to restart.
const crashInterval = 2 * time.Second

// promptParts returns the leading blocks of a prompt, each by its hash, as parts for the poison tracker. The last
// part stands for the rest of the prompt.
func (c *call) promptParts() []string {
	parts := make([]string, 0, len(c.prefixHashes)+1)
	for _, hash := range c.prefixHashes {
		parts = append(parts, strconv.FormatUint(hash, 16))
	}
	return append(parts, "")
}

// checkPrompt returns a problem if engines crash under the beginning of the call's prompt.
func (e *Entry) checkPrompt(c *call) *Problem {
	position, left, blocked := e.options.Poison.Blocked(poison.NewPrompt(c.promptParts()))
	if !blocked {
		return nil
	}
	return notRunProblem(KindPoisoned, http.StatusServiceUnavailable, "engines crash under the beginning of the prompt: "+c.promptParts()[position]).withRetryAfter(left)
}

// observePrompt records whether the engine survived the beginning of its answer. A sidecar resumes an answer whose
// connection breaks, so a fault before the first chunk means that the engine no longer has the request.
func (e *Entry) observePrompt(ctx context.Context, c *call, s slot, r *relay, err error) {
	var fault *FaultError
	switch {
	case !c.forEngine():
	case err == nil && r.chunks > 0:
		e.options.Poison.RecordAnswer(poison.NewPrompt(c.promptParts()), time.Since(r.firstChunkTime))
	case errors.As(err, &fault) && fault.Outcome != lanepb.Outcome_OUTCOME_NOT_RUN && fault.Reason == lanepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED &&
		r.chunks == 0 && ctx.Err() == nil:
		incarnation := s.target.BackendServer + "@" + strconv.FormatInt(time.Now().Truncate(crashInterval).Unix(), 10)
		e.options.Poison.RecordCrash(incarnation, poison.NewPrompt(c.promptParts()))
	}
}
