package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// slowBody is a request body of which a byte comes now and then.
type slowBody struct {
	bytes int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.bytes == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	b.bytes--
	p[0] = 'x'
	return 1, nil
}

// Guards against refusals and answers that were never written if they came later than 10 s after the head of their
// request: their callers saw a closed connection (CONFIG).
func TestAnswerAfterALongUploadIsWritten(t *testing.T) {
	for name, test := range map[string]struct {
		bytes   int
		servers []connHandler
		status  int
		took    time.Duration
	}{
		"not before the timeout": {bytes: 40, servers: []connHandler{respond(200, "hello")}, status: http.StatusRequestTimeout, took: 20 * time.Second},
		"no server":              {bytes: 12, status: http.StatusServiceUnavailable, took: 12 * time.Second},
		"served":                 {bytes: 12, servers: []connHandler{respond(200, "hello")}, status: http.StatusOK, took: 12 * time.Second},
		"failed by the server":   {bytes: 12, servers: []connHandler{respond(500, "no")}, status: http.StatusInternalServerError, took: 12 * time.Second},
		"served late":            {bytes: 1, servers: []connHandler{delayed(15*time.Second, respond(200, "hello"))}, status: http.StatusOK, took: 16 * time.Second},
	} {
		runInVirtualTime(t, func(t *testing.T) {
			w := newVirtualTimeEntry(t, test.servers...)
			stop := make(chan struct{})
			defer close(stop)
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Second):
						w.holder.MarkVerified(steady.Now())
					}
				}
			}()
			for i := range 2 {
				request, err := http.NewRequest(http.MethodPost, w.front.URL+"/long/x", &slowBody{bytes: test.bytes, pause: time.Second})
				w.c.Assert(err, qt.IsNil)
				request.ContentLength = int64(test.bytes)
				request.Header.Set("Id", []string{"first", "second, on the same connection"}[i])
				request.Header.Set("Key", "key")
				began := time.Now()
				response, err := w.client.Do(request)
				w.c.Assert(err, qt.IsNil, qt.Commentf("request %d", i))
				_, err = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				w.c.Check(err, qt.IsNil)
				w.c.Check(response.StatusCode, qt.Equals, test.status)
				w.c.Check(time.Since(began) < test.took+2*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(began)))
				time.Sleep(12 * time.Second)
			}
		}, name)
	}
}

// delayed answers after a time.
func delayed(d time.Duration, answer connHandler) connHandler {
	return func(request *http.Request, conn net.Conn) {
		time.Sleep(d)
		answer(request, conn)
	}
}
