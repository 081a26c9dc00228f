package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/internal/bounded/boundedtest"
)

const (
	// endlessCallers is the number of callers of each kind, endlessTime how long they call.
	endlessCallers = 40
	endlessTime    = 8 * time.Second
	endlessBlock   = 64 << 10
)

// endlessAnswers returns the beginnings and the repeated rests of answers without end.
func endlessAnswers() [][2]string {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	answers := [][2]string{
		{"", "\x00"},
		{stream + "\r\n", "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"},
		{stream + "\r\n", ": x\n"},
		{stream + "\r\n", "data: x"},
		{stream + "Content-Length: 99999999999\r\n\r\n", "x"},
		{stream + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	}
	for _, answer := range boundedtest.EndlessResponses() {
		answers = append(answers, answer)
	}
	return answers
}

// replaceByEndless ends a stand-in and answers all requests at its address without end.
func (s *site) replaceByEndless(name string) {
	process := s.Process(name)
	s.c.Assert(process.Kill(), qt.IsNil)
	_, err := process.Wait(s.c.Context())
	s.c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", process.Address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { listener.Close() })
	answers := endlessAnswers()
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := answers[rand.IntN(len(answers))]
		block := strings.Repeat(answer[1], 1+endlessBlock/len(answer[1]))
		for _, err = io.WriteString(conn, answer[0]); err == nil; {
			_, err = io.WriteString(conn, block)
			// Some 16 MiB a second leave processor time for others.
			time.Sleep(4 * time.Millisecond)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// Guards against a machine of our own interface that runs out of memory, and ends the requests of others, because the
// engines and services that it calls answer without end.
func TestCrowdThatMeetsEndlessAnswers(t *testing.T) {
	s := newSite(t)
	var watched []string
	for i := range s.Spec.Entries {
		watched = append(watched, fmt.Sprint("entry-", i+1))
	}
	for i := range s.Spec.Engines {
		watched = append(watched, fmt.Sprint("sidecar-engine-", i+1))
	}
	watched = append(watched, "sidecar-ledger-1", "sidecar-ledger-2")
	pids := map[string]int{}
	for _, name := range watched {
		pids[name] = s.Process(name).PID()
	}
	for i := range s.Spec.Engines {
		s.replaceByEndless(fmt.Sprint("engine-", i+1))
	}
	s.replaceByEndless("ledger-2")
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var callers sync.WaitGroup
	var whole, others atomic.Int64
	for i := range endlessCallers {
		url := s.EntryURLs()[i%s.Spec.Entries]
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				s.client.Chat(ctx, caller.Chat{URL: url, Model: s.Spec.ModelRoute, Prompt: "endless?", MaxTokens: 100, Stream: n%2 == 0, Timeout: 3 * time.Second})
			}
		})
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				result := s.client.Operate(ctx, s.operation(url, http.MethodGet, fmt.Sprint("read-", i, "-", n), ""))
				if others.Add(1); result.Outcome == caller.OutcomeWhole {
					whole.Add(1)
				}
			}
		})
	}
	callers.Wait()
	s.c.Logf("%d of %d operations at the ledger are whole", whole.Load(), others.Load())
	s.c.Check(whole.Load() > 0, qt.IsTrue)
	for _, name := range watched {
		process := s.Process(name)
		s.c.Check(process.Running(), qt.IsTrue, qt.Commentf("%s", name))
		s.c.Check(process.PID(), qt.Equals, pids[name])
		peak, err := process.PeakMemory()
		s.c.Assert(err, qt.IsNil)
		s.c.Logf("%s: peak memory %d MB", name, peak>>20)
		s.c.Check(peak <= crowdMemoryBytes, qt.IsTrue, qt.Commentf("%s: %d MB", name, peak>>20))
	}
	result := s.client.Operate(t.Context(), s.operation(s.EntryURLs()[0], http.MethodGet, "after", ""))
	s.c.Check(result.Outcome, qt.Equals, caller.OutcomeWhole)
}
