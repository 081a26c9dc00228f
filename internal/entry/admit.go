package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/limit"
)

// admit counts a call against the limits of its client account. It returns a problem if a limit is
// exceeded.
func (e *Entry) admit(c *call) *Problem {
	err := e.limits.Admit(c.account.GetName(), c.account.GetLimits(), c.tokens(), time.Now())
	var exceeded *limit.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	detail := "the client account is over its limit " + string(exceeded.Kind)
	return notRunProblem(KindAccountLimit, http.StatusTooManyRequests, detail).withRetryAfter(exceeded.RetryAfter)
}

// tokens returns the estimated number of prompt and output tokens of the call.
func (c *call) tokens() float64 {
	return float64(c.promptTokens) + float64(c.outputTokens)
}

// usedTokens returns the number of tokens of a completed answer: the usage that the backend server
// reported, or the estimate if it reported none. It returns 0 if the answer was not completed.
func (r *relay) usedTokens() float64 {
	if r.end == nil {
		return 0
	}
	if usage := r.end.GetUsage(); usage != nil {
		return float64(usage.GetPromptTokens()) + float64(usage.GetOutputTokens())
	}
	return r.call.tokens()
}
