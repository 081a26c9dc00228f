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
	// streamEvents is the number of events of a stream that lasts for 3 s, which is most of a
	// graceful shutdown.
	streamEvents  = 200
	streamTimeout = 6 * time.Second
	serviceName   = "assistant"
)

// platformSite is an entry and a sidecar for one engine, with a stand-in for the users' platform.
type platformSite struct {
	c       *qt.C
	store   *standin.Store
	engine  *standin.Server
	entry   *platformProcess
	sidecar *platformProcess
}

// platformProcess is the process of a role on the users' platform.
type platformProcess struct {
	*deploy.Process
	machine  standin.Machine
	settings string
}

// noopLedger discards the events of the engine; the tests check only the answers to callers.
type noopLedger struct{}

func (noopLedger) RecordArrival(*standin.Server, string, time.Time) {}
func (noopLedger) RecordRun(standin.Run)                            {}

// loopbackAddress returns a loopback address derived from the process id, so that concurrent test
// processes use different ones.
func loopbackAddress(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 200+pid>>8%50, pid%256, i)
}

func newPlatformSite(t *testing.T) *platformSite {
	c := qt.New(t)
	store := standin.NewStore()
	listener, err := net.Listen("tcp", loopbackAddress(1)+":8225")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: store}
	go func() {
		// Serve returns when the cleanup closes the server.
		_ = server.Serve(listener)
	}()
	c.Cleanup(func() { server.Close() })
	engine := &standin.Server{
		ID: "engine-1", Service: serviceName, RegisteredAddress: loopbackAddress(2) + ":8300", Address: loopbackAddress(2) + ":8300",
		Slots: 4, Events: streamEvents, StartedAt: time.Now(), Ledger: noopLedger{},
	}
	c.Assert(engine.Start(), qt.IsNil)
	c.Cleanup(engine.Stop)
	store.PutManifest(standin.Manifest{
		Version: 1,
		Routes: []standin.Route{{
			Name: "stream", Host: standin.Host, PathPrefix: "/stream/", Kind: "streaming", Service: serviceName,
			MaxServers: 1, TimeoutMS: int(streamTimeout.Milliseconds()), ObjectiveMS: 1000, GapTargetMS: 1000,
		}},
		Services: []standin.Service{{Name: serviceName, Slots: engine.Slots}},
		Accounts: []standin.Account{{Name: "open", Keys: []string{"key-open"}, Unit: "token_count", DefaultTokens: 1}},
	})
	store.PutServer(engine, 1, false)
	s := &platformSite{c: c, store: store, engine: engine}
	s.sidecar = s.newProcess("sidecar", standin.Machine{
		Name: "side", IP: loopbackAddress(2), Engine: engine.Address, Store: listener.Addr().String(), InternalPort: 7600,
	})
	s.entry = s.newProcess("entry", standin.Machine{
		Name: "edge", IP: loopbackAddress(3), Front: loopbackAddress(3) + ":8221", Ready: loopbackAddress(3) + ":8224", Store: listener.Addr().String(), InternalPort: 7600,
	})
	return s
}

// newProcess returns the process of a role without starting it.
func (s *platformSite) newProcess(role string, m standin.Machine) *platformProcess {
	dir := s.c.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	s.c.Assert(os.WriteFile(settings, []byte(m.Settings()), 0o600), qt.IsNil)
	health := "http://" + m.IP + ":7601/metrics"
	if m.Ready != "" {
		health = m.ReadyURL()
	}
	return &platformProcess{machine: m, settings: settings, Process: deploy.NewProcess(deploy.ProcessOptions{
		Name: m.Name, Program: filepath.Join(binDir, "lagoonlane"), Args: []string{"platform-" + role},
		Env: []string{standin.SettingsVariable + "=" + settings}, LogPath: filepath.Join(dir, "log"), HealthURL: health,
	})}
}

// start starts processes and waits until they serve.
func (s *platformSite) start(processes ...*platformProcess) {
	for _, p := range processes {
		s.c.Assert(p.Start(s.c.Context()), qt.IsNil)
		s.c.Cleanup(func() { _ = p.Kill() })
	}
}

// log returns the log output of a process.
func (s *platformSite) log(p *platformProcess) string {
	text, err := p.LogText()
	s.c.Assert(err, qt.IsNil)
	return text
}

// assertGracefulExit asserts that a stopping process exits with code 0 within the grace time.
func (s *platformSite) assertGracefulExit(p *platformProcess) {
	ctx, cancel := context.WithTimeout(s.c.Context(), standin.ShutdownGrace)
	defer cancel()
	code, err := p.Wait(ctx)
	s.c.Check(err, qt.IsNil)
	s.c.Check(code, qt.Equals, 0, qt.Commentf("%s", s.log(p)))
}

// stream is an open streamed response.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	events int
}

// openStream requests a stream and returns it after its first event.
func (s *platformSite) openStream(id string) *stream {
	callerRequest := standin.CallerRequest{ID: id, Key: "key-open", Timeout: streamTimeout, PromptTokens: 100, OutputTokens: streamEvents}
	r, err := http.NewRequestWithContext(s.c.Context(), http.MethodPost, "http://"+s.entry.machine.Front+"/stream/x", strings.NewReader("prompt"))
	s.c.Assert(err, qt.IsNil)
	r.Host, r.Header = standin.Host, callerRequest.Header()
	transport := &http.Transport{DisableCompression: true}
	s.c.Cleanup(transport.CloseIdleConnections)
	answer, err := transport.RoundTrip(r)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { answer.Body.Close() })
	s.c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	st := &stream{body: answer.Body, reader: bufio.NewReader(answer.Body)}
	s.c.Assert(st.next(), qt.IsNil)
	return st
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

// assertComplete reads a stream to its end and asserts that it has all events.
func (s *platformSite) assertComplete(st *stream) {
	var err error
	for err == nil {
		err = st.next()
	}
	s.c.Check(err, qt.Equals, io.EOF, qt.Commentf("the answer ended early"))
	s.c.Check(st.events, qt.Equals, streamEvents)
}
