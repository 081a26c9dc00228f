package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/gateway"
	"github.com/lagoonlane/lagoonlane/internal/poison"
)

// deadlyPart crashes each engine that begins to answer a prompt with it.
const deadlyPart = "deadly"

// crashingEngines are engines that crash under deadlyPart and are back after downTime.
type crashingEngines struct {
	*engineEntry
	crashes atomic.Int64
	// downUntil holds the end of the outage of each engine, in Unix nanoseconds.
	downUntil []atomic.Int64
}

const downTime = 3 * time.Second

func newCrashingEngines(t *testing.T, number int) *crashingEngines {
	e := &crashingEngines{downUntil: make([]atomic.Int64, number)}
	serve := func(request *http.Request, conn net.Conn) {
		if !strings.Contains(request.Header.Get("Prompt"), deadlyPart) {
			respondUntilClosed(request, conn, threeEvents)
			return
		}
		time.Sleep(20 * time.Millisecond)
		e.crashes.Add(1)
		var engine int
		_, err := fmt.Sscanf(request.Header.Get("Engine"), "engine-%d", &engine)
		e.c.Assert(err, qt.IsNil)
		e.downUntil[engine].Store(time.Now().Add(downTime).UnixNano())
		respondUntilClosed(request, conn, "")
	}
	e.engineEntry = newEngineEntryWith(t, number, serve, func(o *gateway.Options) {
		o.Poison = poison.New(poison.Options{Now: time.Now, Logger: zerolog.Nop()})
	}, func(address string) error {
		var engine int
		if _, err := fmt.Sscanf(address, "engine-%d", &engine); err != nil {
			return err
		}
		if time.Now().UnixNano() < e.downUntil[engine].Load() {
			return syscall.ECONNREFUSED
		}
		return nil
	})
	return e
}

// send sends a request whose prompt has some parts.
func (e *crashingEngines) send(parts string) (response *httptest.ResponseRecorder, cut bool) {
	request := httptest.NewRequestWithContext(context.Background(), "POST", "http://low/x", strings.NewReader("p"))
	request.Header.Set("Id", fmt.Sprint("r", lastRequestNumber.Add(1)))
	request.Header.Set("Parts", parts)
	return e.serve(request)
}

// Guards against one part of a prompt that crashes engine after engine, in new requests that have nothing else in
// common. Sound requests with the other parts, and of the same caller, must be served as before.
func TestPromptPartThatCrashesEnginesIsKeptFromThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newCrashingEngines(t, 9)
		served := 0
		for i := range 60 {
			if i%4 == 0 {
				_, _ = e.send(fmt.Sprint("system ", deadlyPart, " own-", i))
			}
			if response, cut := e.send(fmt.Sprint("system own-", i)); !cut && response.Code == http.StatusOK {
				served++
			}
			time.Sleep(250 * time.Millisecond)
		}
		e.c.Assert(e.crashes.Load() <= 5, qt.IsTrue, qt.Commentf("%d crashes", e.crashes.Load()))
		e.c.Assert(served, qt.Equals, 60)
		sends := e.totalSends()
		response, _ := e.send("system " + deadlyPart + " other")
		e.c.Assert(response.Code, qt.Equals, http.StatusServiceUnavailable)
		e.c.Assert(response.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		e.c.Assert(response.Body.String(), qt.Contains, `"outcome":"not-run"`)
		e.c.Assert(e.totalSends(), qt.Equals, sends)
		e.assertNoTickets(0)
	})
}

// A connection that breaks while its engine goes on is no crash: engines also reset single connections.
func TestBrokenConnectionsBlockNoPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sends atomic.Int64
		w := newEngineEntryWith(t, 4, func(request *http.Request, conn net.Conn) {
			if sends.Add(1) <= 10 {
				return
			}
			respondUntilClosed(request, conn, threeEvents)
		}, func(o *gateway.Options) {
			o.Poison = poison.New(poison.Options{Now: time.Now, Logger: zerolog.Nop()})
		}, nil)
		e := &crashingEngines{engineEntry: w}
		for range 10 {
			response, _ := e.send("system thing own")
			w.c.Assert(response.Code, qt.Equals, http.StatusBadGateway)
			time.Sleep(2 * time.Second)
		}
		response, cut := e.send("system thing own")
		w.c.Assert(cut, qt.IsFalse)
		w.c.Assert(response.Code, qt.Equals, http.StatusOK)
	})
}
