package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Guards against the beginning of a prompt that crashes one engine after the other. Prompts with the same system
// message must still be answered.
func TestPromptThatCrashesEnginesIsKeptFromThem(t *testing.T) {
	bubble(t, func(t *testing.T) {
		crashes := 0
		var lanes []*fakeLane
		for i := range 6 {
			lane := newFakeLane(fmt.Sprint("e", i))
			lane.framesFor = func(body string) []*lanepb.Frame {
				if strings.Contains(body, "deadly") {
					crashes++
					return []*lanepb.Frame{faultFrame(lanepb.Outcome_OUTCOME_FAILED, lanepb.RefusalReason_REFUSAL_REASON_UNSPECIFIED)}
				}
				return answerFrames(200, "application/json", `{"choices":[1]}`)
			}
			lanes = append(lanes, lane)
		}
		cell := newTestCell(t, nil, lanes...)
		system, deadly := strings.Repeat("system ", 50), strings.Repeat("deadly ", 60)
		send := func(prompt string) (*http.Response, string) {
			body := fmt.Sprintf(`{"model":"pegs","messages":[{"role":"user","content":%q}]}`, prompt)
			response, text, err := cell.do(t, cell.request(t, "POST", chatPath, body))
			qt.Assert(t, err, qt.IsNil)
			return response, text
		}
		served := 0
		for i := range 20 {
			_, _ = send(system + deadly + fmt.Sprint("own ", i))
			if response, _ := send(system + fmt.Sprint("own ", i)); response.StatusCode == http.StatusOK {
				served++
			}
			time.Sleep(2 * time.Second)
		}
		qt.Assert(t, crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", crashes))
		qt.Assert(t, served, qt.Equals, 20)
		response, body := send(system + deadly + "another")
		problem := decodeProblem(t, response, body)
		qt.Assert(t, problem.Status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, problem.Outcome, qt.Equals, OutcomeNotRun)
		qt.Assert(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	})
}
