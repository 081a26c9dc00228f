package entry

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A body that exceeds the memory budget is rejected as not-run with Retry-After, and the memory
// held by other requests is released with their answers.
func TestBodyWithoutMemoryIsShed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		lane := newFakeLane("a", answerFrames(200, "application/json", `{"a":1}`)...)
		cell := newTestCell(t, func(o *Options) { o.MaxBufferedBytes = 6000 }, lane)
		long := chatBody + strings.Repeat(" ", 4096-len(chatBody))
		response, body, err := cell.do(t, cell.request(t, http.MethodPost, chatPath, long))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, decodeProblem(t, response, body).Outcome, qt.Equals, OutcomeNotRun)
		for range 5 {
			response, _, err := cell.do(t, cell.request(t, http.MethodPost, chatPath, chatBody))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}
