package slots

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzRequest checks that no message of a stranger becomes a request that the queue can't reckon with.
func FuzzRequest(f *testing.F) {
	f.Add(`{"request_id":"r","budget_ms":6000,"objective_ms":-9,"has_objective":true,"prompt_tokens":800,"output_tokens":225}`)
	f.Add(`{"budget_ms":9223372036854775807,"late_hold_ms":-1,"age_ms":9223372036854775807,"prompt_tokens":4294967296,"output_tokens":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		var message Request
		if json.Unmarshal([]byte(text), &message) != nil {
			return
		}
		now := time.Now()
		r := message.admissionRequest(now)
		if left := r.Deadline.Sub(now); left < -maxTime || left > maxTime {
			t.Errorf("deadline %v from now", left)
		}
		if r.PromptTokens > maxTokens || r.OutputTokens > maxTokens || message.PromptTokens >= maxTokens && r.PromptTokens != maxTokens {
			t.Errorf("%d and %d tokens", r.PromptTokens, r.OutputTokens)
		}
		if r.LateHold < 0 || r.Age < 0 || r.MaxEventGap < 0 {
			t.Errorf("%+v", r)
		}
	})
}
