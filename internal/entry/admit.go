package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/limit"
)

// admit counts a call in against the limits of its client account.
func (e *Entry) admit(one *call) *Problem {
	err := e.limits.Admit(one.account.GetName(), one.account.GetLimits(), one.tokens(), time.Now())
	var exceeded *limit.ExceededError
	if !errors.As(err, &exceeded) {
		return nil
	}
	detail := "the client account is over its limit " + string(exceeded.Kind)
	return notRunProblem(KindLimit, http.StatusTooManyRequests, detail).withRetryAfter(exceeded.RetryAfter)
}

// tokens returns the tokens that the call is expected to use.
func (c *call) tokens() float64 {
	return float64(c.promptTokens) + float64(c.outputTokens)
}

// usedTokens returns the tokens of the answer: as its backend server counted
// them, or none for a call that was not answered.
func (r *relay) usedTokens() float64 {
	if r.end == nil {
		return 0
	}
	if usage := r.end.GetUsage(); usage != nil {
		return float64(usage.GetPromptTokens()) + float64(usage.GetOutputTokens())
	}
	return r.call.tokens()
}
