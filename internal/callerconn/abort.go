package callerconn

import (
	"net"
	"net/http"

	"github.com/lagoonlane/lagoonlane/internal/netpeek"
)

// Abort ends the handler of a request whose answer has begun and can't be completed, so that the caller detects it. An
// answer in HTTP/1.0 may be framed by the end of its connection only, which is therefore reset. Abort doesn't return.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of an answer with a reset. Failures are ignored: a connection that can't be taken over or
// is no TCP connection is closed by the server.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, err := netpeek.Find[*net.TCPConn](conn); err == nil {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
