package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// dripReader returns one byte of a body now and then, up to size bytes.
type dripReader struct {
	size  int
	pause time.Duration
}

func (r *dripReader) Read(p []byte) (int, error) {
	if r.size == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	r.size--
	p[0] = 'x'
	return 1, nil
}

// Guards against a caller whose body never comes to its end; one that takes seconds is served.
func TestSlowBodyIsRefusedInTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		size   int
		pause  time.Duration
		status int
	}{
		"a byte now and then": {size: 1000, pause: time.Second, status: http.StatusRequestTimeout},
		"within seconds":      {size: 1000, pause: 2 * time.Millisecond, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				cell := newTestCell(t, nil, newFakeLane("l1", answerFrames(200, "application/json", `{"a":1}`)...))
				request := cell.request(t, http.MethodPost, "/services/ledger/loans", "")
				request.Body, request.ContentLength = io.NopCloser(&dripReader{size: test.size, pause: test.pause}), int64(test.size)
				response, body, err := cell.do(t, request)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", body))
			})
		})
	}
}
