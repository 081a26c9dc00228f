package sidecar

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The credentials for a proxy concern one connection only and are not forwarded in either direction.
func TestProxyCredentialsAreNotForwarded(t *testing.T) {
	c := qt.New(t)
	header := http.Header{"Proxy-Authenticate": {"Basic"}, "Proxy-Authorization": {"Basic x"}, "X-Kept": {"1"}}
	frame := toFrameHeaders(header)
	c.Assert(frame, qt.HasLen, 1)
	c.Assert(frame[0].GetName(), qt.Equals, "X-Kept")
}
