package slots_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
	"github.com/lagoonlane/lagoonlane/internal/bounded/boundedtest"
	"github.com/lagoonlane/lagoonlane/internal/slots"
)

const (
	// maxReadBytes is the limit on the bytes read of an endless message after its head.
	maxReadBytes = 2<<20 + bounded.MaxHeaderBytes
	// maxSentBytes is the limit on the bytes sent of an endless message, including those in
	// socket buffers.
	maxSentBytes = 2<<20 + boundedtest.SocketBufferBytes
)

// A sidecar that sends endless bytes is reported as unreachable, and its bytes are not buffered
// beyond a limit.
func TestEndlessSidecarIsUnreachable(t *testing.T) {
	const upgraded = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: lane-slots\r\n\r\n"
	answers := boundedtest.EndlessResponses()
	answers["message"] = [2]string{upgraded + `{"kind":"`, "x"}
	answers["blanks"] = [2]string{upgraded, " "}
	answers["numbers"] = [2]string{upgraded, "1"}
	// The race detector can fail on timers of a synctest bubble: see docs/LIMITS.md.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				server := &boundedtest.PipeServer{Begin: answer[0], Repeat: answer[1]}
				client := slots.NewClient(server.Dial)
				defer client.Close()
				began := time.Now()
				_, err := client.Acquire(t.Context(), sidecarAt("sidecar"), slotRequest("a"), nil)
				var unreachable *slots.UnreachableError
				c.Assert(errors.As(err, &unreachable), qt.IsTrue, qt.Commentf("%v", err))
				c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
				c.Assert(server.Sent.Load() <= maxReadBytes, qt.IsTrue, qt.Commentf("%d", server.Sent.Load()))
			})
		})
	}
}

// An entry that sends an endless message is disconnected, and its slots are freed.
func TestEndlessEntryIsCutOff(t *testing.T) {
	for name, text := range map[string]string{"message": `{"kind":"` + strings.Repeat("x", 100), "blanks": strings.Repeat(" ", 100)} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSidecar(t)
			conn, err := net.Dial("tcp", s.address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: lane-slots\r\n\r\n", slots.Path)
			fmt.Fprintln(conn, `{"kind":"ask","ticket":1,"ask":{"request_id":"a","budget_ms":60000,"slots":1}}`)
			eventually(c, "the slot is held", func() bool { return s.queue.Load().Running == 1 })
			_, err = io.WriteString(conn, text)
			sent := len(text)
			for block := strings.Repeat(text[len(text)-1:], 64<<10); err == nil && sent < 4*maxSentBytes; sent += len(block) {
				_, err = io.WriteString(conn, block)
			}
			c.Assert(err, qt.Not(qt.IsNil))
			c.Assert(sent < maxSentBytes, qt.IsTrue)
			eventually(c, "the slot is free", func() bool { return s.queue.Load().Running == 0 })
		})
	}
}

// A request id four times as long as the headers that manifests usually allow must not end the
// connection that all requests to a sidecar share.
func TestLongRequestIDIsAccepted(t *testing.T) {
	c := qt.New(t)
	s := newTestSidecar(t)
	lease, err := s.client.Acquire(t.Context(), sidecarAt(s.address), slotRequest(strings.Repeat("<", 64<<10)), nil)
	c.Assert(err, qt.IsNil)
	lease.Abandon()
}
