package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

const (
	// longStream is the number of events of a stream that lasts for 3 s, most of a graceful stop.
	longStream     = 200
	streamPatience = 6 * time.Second
	assistant      = "assistant"
)

// platformSite is an entry and a sidecar in front of one engine on a stand-in of the users' platform.
type platformSite struct {
	c       *qt.C
	engine  *standin.Server
	entry   *platformProcess
	sidecar *platformProcess
}

// platformProcess is a role on the users' platform.
type platformProcess struct {
	*deploy.Process
	machine  standin.Machine
	settings string
}

// noLedger ignores what the engine sees: callers' answers tell enough.
type noLedger struct{}

func (noLedger) RecordArrival(*standin.Server, string, time.Time) {}
func (noLedger) RecordRun(standin.Run)                            {}

// loopback returns an address that no other test process on this machine uses.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 200+pid>>8%50, pid%256, i)
}

func newPlatformSite(t *testing.T) *platformSite {
	c := qt.New(t)
	store := standin.NewStore()
	listener, err := net.Listen("tcp", loopback(1)+":8225")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: store}
	go func() {
		// It ends with the test.
		_ = server.Serve(listener)
	}()
	c.Cleanup(func() { server.Close() })
	engine := &standin.Server{
		ID: "engine-1", Service: assistant, RegisteredAddress: loopback(2) + ":8300", Address: loopback(2) + ":8300",
		Slots: 4, Events: longStream, StartedAt: time.Now(), Ledger: noLedger{},
	}
	c.Assert(engine.Start(), qt.IsNil)
	c.Cleanup(engine.Stop)
	store.PutManifest(standin.Manifest{
		Version: 1,
		Routes: []standin.Route{{
			Name: "stream", Host: standin.Host, PathPrefix: "/stream/", Kind: "streaming", Service: assistant,
			MaxServers: 1, TimeoutMS: int(streamPatience.Milliseconds()), ObjectiveMS: 1000, GapTargetMS: 1000,
		}},
		Services: []standin.Service{{Name: assistant, Slots: engine.Slots}},
		Accounts: []standin.Account{{Name: "open", Keys: []string{"key-open"}, Unit: "token_count", DefaultTokens: 1}},
	})
	store.PutServer(engine, 1, false)
	s := &platformSite{c: c, engine: engine}
	s.sidecar = s.process("sidecar", standin.Machine{
		Name: "side", IP: loopback(2), Engine: engine.Address, Store: listener.Addr().String(), InternalPort: 7600,
	})
	s.entry = s.process("entry", standin.Machine{
		Name: "edge", IP: loopback(3), Front: loopback(3) + ":8221", Ready: loopback(3) + ":8224", Store: listener.Addr().String(), InternalPort: 7600,
	})
	return s
}

// process prepares the process of a role; start starts it.
func (s *platformSite) process(role string, m standin.Machine) *platformProcess {
	dir := s.c.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	s.c.Assert(os.WriteFile(settings, []byte(m.Settings()), 0o600), qt.IsNil)
	health := "http://" + m.IP + ":7601/metrics"
	if m.Ready != "" {
		health = m.ReadyURL()
	}
	return &platformProcess{machine: m, settings: settings, Process: deploy.NewProcess(deploy.ProcessOptions{
		Name: m.Name, Program: filepath.Join(binDir, "lagoonlane"), Args: []string{"platform-" + role},
		Env: []string{standin.SettingsVariable + "=" + settings}, Log: filepath.Join(dir, "log"), Health: health,
	})}
}

// start starts processes and waits until they serve.
func (s *platformSite) start(processes ...*platformProcess) {
	for _, p := range processes {
		s.c.Assert(p.Start(s.c.Context()), qt.IsNil)
		s.c.Cleanup(func() { _ = p.Kill() })
	}
}

// log returns what a process wrote.
func (s *platformSite) log(p *platformProcess) string {
	text, err := p.LogText()
	s.c.Assert(err, qt.IsNil)
	return text
}

// stops asserts that a process that was asked to stop has ended by itself and well.
func (s *platformSite) stops(p *platformProcess) {
	ctx, cancel := context.WithTimeout(s.c.Context(), standin.ShutdownGrace)
	defer cancel()
	code, err := p.Wait(ctx)
	s.c.Check(err, qt.IsNil)
	s.c.Check(code, qt.Equals, 0, qt.Commentf("%s", s.log(p)))
}

// stream is the answer to a caller that is being read.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	events int
}

// open asks for a stream and returns it once its first event is there.
func (s *platformSite) open(id string) *stream {
	ask := standin.CallerRequest{ID: id, Key: "key-open", Timeout: streamPatience, PromptTokens: 100, OutputTokens: longStream}
	r, err := http.NewRequestWithContext(s.c.Context(), http.MethodPost, "http://"+s.entry.machine.Front+"/stream/x", strings.NewReader("prompt"))
	s.c.Assert(err, qt.IsNil)
	r.Host, r.Header = standin.Host, ask.Header()
	transport := &http.Transport{DisableCompression: true}
	s.c.Cleanup(transport.CloseIdleConnections)
	answer, err := transport.RoundTrip(r)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { answer.Body.Close() })
	s.c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	one := &stream{body: answer.Body, reader: bufio.NewReader(answer.Body)}
	s.c.Assert(one.next(), qt.IsNil)
	return one
}

// next reads one event.
func (st *stream) next() error {
	for {
		line, err := st.reader.ReadString('\n')
		if err != nil {
			return err
		}
		if line == "\n" {
			st.events++
			return nil
		}
	}
}

// whole asserts that all events of a stream come.
func (s *platformSite) whole(st *stream) {
	var err error
	for err == nil {
		err = st.next()
	}
	s.c.Check(err, qt.Equals, io.EOF, qt.Commentf("the answer broke off"))
	s.c.Check(st.events, qt.Equals, longStream)
}
