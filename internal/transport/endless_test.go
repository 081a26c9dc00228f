package transport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/transport"
)

// endlessBody is an endless body. It counts the bytes that were read.
type endlessBody struct{ read atomic.Int64 }

func (e *endlessBody) Read(p []byte) (int, error) {
	e.read.Add(int64(len(p)))
	return len(p), nil
}

func serve(t *testing.T, handler http.Handler) string {
	server := httptest.NewUnstartedServer(nil)
	server.Config = transport.NewInternalServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against endless messages of another process, which must fail at the size limit. Streams
// have no limit.
func TestEndlessMessageIsAnError(t *testing.T) {
	c := qt.New(t)
	const long = 80 << 20
	url := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", r.URL.Query().Get("type"))
		_, _ = io.CopyN(w, &endlessBody{}, long)
	}))
	client := transport.NewClient("", nil)
	defer client.CloseIdleConnections()
	for contentType, complete := range map[string]bool{"application/json": false, "application/protobuf": false, "application/x-frames": true} {
		response, err := client.Get(url + "?type=" + contentType)
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		var tooLarge *bounded.TooLargeError
		c.Assert(errors.As(err, &tooLarge), qt.Equals, !complete, qt.Commentf("%s: %v", contentType, err))
		c.Assert(n == long, qt.Equals, complete)
	}
}

func TestEndlessRequestIsAnError(t *testing.T) {
	c := qt.New(t)
	readErr := make(chan error, 1)
	url := serve(t, transport.LimitMessages(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		readErr <- err
	})))
	client := transport.NewClient("", nil)
	defer client.CloseIdleConnections()
	body := &endlessBody{}
	response, err := client.Post(url, "application/protobuf", body)
	if err == nil {
		response.Body.Close()
	}
	var tooLarge *http.MaxBytesError
	c.Assert(errors.As(<-readErr, &tooLarge), qt.IsTrue)
	c.Assert(body.read.Load() < 200<<20, qt.IsTrue)
}
