package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/platform"
	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// noopLedger discards the events of a backend server.
type noopLedger struct{}

func (noopLedger) RecordArrival(*standin.Server, string, time.Time) {}
func (noopLedger) RecordRun(standin.Run)                            {}

// testEntry is an entry that runs inside the test process, with one backend server that sends long
// streams.
type testEntry struct {
	c            *qt.C
	front        string
	ready        string
	metrics      string
	settingsPath string
	logPath      string
	backend      *standin.Server
}

// testHost returns a loopback address that no other process is likely to use, so that a free port there stays free until
// it is opened.
func testHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddress returns an address with a free port on a loopback host.
func freeAddress(c *qt.C, host string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// newTestEntry returns an entry that is not running yet. Its grace time is the shortest in which a
// shutdown goes through all its steps.
func newTestEntry(t *testing.T) *testEntry { return newTestEntryWithGrace(t, 3500*time.Millisecond) }

func newTestEntryWithGrace(t *testing.T, grace time.Duration) *testEntry {
	c := qt.New(t)
	dir, host := c.TempDir(), testHost()
	e := &testEntry{c: c, front: freeAddress(c, host), ready: freeAddress(c, host), metrics: freeAddress(c, host), settingsPath: filepath.Join(dir, "settings.toml"), logPath: filepath.Join(dir, "log")}
	store := standin.NewStore()
	storeServer := httptest.NewServer(store)
	c.Cleanup(storeServer.Close)
	backend := &standin.Server{
		ID: "i-1", Service: "plain", RegisteredAddress: freeAddress(c, host), Slots: 4, Events: 1 << 20, StartedAt: time.Now(), Ledger: noopLedger{},
	}
	backend.Address = backend.RegisteredAddress
	e.backend = backend
	c.Assert(backend.Start(), qt.IsNil)
	c.Cleanup(backend.Stop)
	store.PutManifest(standin.Manifest{
		Version: 1,
		Routes: []standin.Route{{
			Name: "stream", Host: standin.Host, PathPrefix: "/stream/", Kind: "streaming", Service: "plain",
			MaxServers: 1, TimeoutMS: 60_000, ObjectiveMS: 1000, GapTargetMS: 1000,
		}, {
			Name: "call", Host: standin.Host, PathPrefix: "/call/", Kind: "unsafe", Service: "plain",
			MaxServers: 1, TimeoutMS: 60_000, ObjectiveMS: 1000, GapTargetMS: 1000,
		}},
		Services: []standin.Service{{Name: "plain"}},
		Accounts: []standin.Account{{Name: "open", Keys: []string{"key-open"}, Unit: "token_count", DefaultTokens: 1}},
	})
	store.PutServer(backend, 1, false)
	_, port, err := net.SplitHostPort(freeAddress(c, host))
	c.Assert(err, qt.IsNil)
	var internal int
	_, err = fmt.Sscan(port, &internal)
	c.Assert(err, qt.IsNil)
	machine := standin.Machine{
		Name: "edge", IP: host, Front: e.front, Ready: e.ready, Store: storeServer.Listener.Addr().String(), InternalPort: internal,
	}
	settings := strings.Replace(machine.Settings(), "grace_s = 8\n", fmt.Sprintf("grace_s = %g\n", grace.Seconds()), 1)
	c.Assert(os.WriteFile(e.settingsPath, []byte(settings), 0o600), qt.IsNil)
	t.Setenv(standin.SettingsVariable, e.settingsPath)
	logFile, err := os.Create(e.logPath)
	c.Assert(err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = logFile
	c.Cleanup(func() { os.Stdout = stdout; logFile.Close() })
	return e
}

// logLines returns the log lines of the process.
func (e *testEntry) logLines() []map[string]any {
	file, err := os.Open(e.logPath)
	e.c.Assert(err, qt.IsNil)
	defer file.Close()
	var all []map[string]any
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line map[string]any
		e.c.Assert(json.Unmarshal(scanner.Bytes(), &line), qt.IsNil)
		all = append(all, line)
	}
	return all
}

// metricsPage returns the content of the metrics page.
func (e *testEntry) metricsPage() string {
	response, err := http.Get("http://" + e.metrics + "/metrics")
	e.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	e.c.Assert(err, qt.IsNil)
	return string(body)
}

// openStream starts a stream, reads its first event and returns a function that closes its
// connection.
func (e *testEntry) openStream(id string) (closeStream func()) {
	response, err := e.send(id, "/stream/x")
	e.c.Assert(err, qt.IsNil)
	e.c.Cleanup(func() { response.Body.Close() })
	e.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	e.c.Assert(err, qt.IsNil)
	return func() { response.Body.Close() }
}

// waitForMetric waits until the metrics page matches a pattern.
func (e *testEntry) waitForMetric(pattern string) {
	e.c.Helper()
	re := regexp.MustCompile(pattern)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if re.MatchString(e.metricsPage()) {
			return
		}
	}
	e.c.Fatalf("no %s within 5 s:\n%s", pattern, e.metricsPage())
}

// stopError is the cause with which tests stop a process.
type stopError struct{}

func (*stopError) Error() string { return "the test stops it" }

// run starts the entry and waits until it is ready. Stop ends it; ended receives the error that it
// returns.
func (e *testEntry) run() (stop context.CancelCauseFunc, ended <-chan error) {
	ctx, stop := context.WithCancelCause(e.c.Context())
	_, port, err := net.SplitHostPort(e.metrics)
	e.c.Assert(err, qt.IsNil)
	var metricsPort int
	_, err = fmt.Sscan(port, &metricsPort)
	e.c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	_, signals := newSignalHandler()
	go func() { done <- runPlatformEntry(ctx, signals, metricsPort) }()
	e.waitReady()
	return stop, done
}

// send sends a request to a path and returns its response.
func (e *testEntry) send(id, path string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+e.front+path, strings.NewReader("p"))
	e.c.Assert(err, qt.IsNil)
	request.Host = standin.Host
	request.Header = standin.CallerRequest{ID: id, Key: "key-open", Timeout: time.Minute}.Header()
	return http.DefaultClient.Do(request)
}

// Guards against dropped connections at shutdown: a request without any part of an answer at the
// end of the grace time must receive a 502 response.
func TestRequestWithoutAnswerIsAnsweredAtTheEndOfTheGraceTime(t *testing.T) {
	e := newTestEntry(t)
	e.backend.Hanging.Store(true)
	stop, ended := e.run()
	answered := make(chan error, 1)
	go func() {
		response, err := e.send("silent", "/call/x")
		if err == nil {
			defer response.Body.Close()
			e.c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway)
			e.c.Check(response.Close, qt.IsTrue)
		}
		answered <- err
	}()
	e.waitForMetric(`\nlagoonlane_gateway_running\{[^}]*\} 1\n`)
	stop(&stopError{})
	e.c.Assert(<-answered, qt.IsNil)
	e.c.Assert(<-ended, qt.IsNil)
}

func TestStopAndCutRequestsAreLogged(t *testing.T) {
	e := newTestEntry(t)
	stop, ended := e.run()
	e.openStream("left")()
	e.waitForMetric(`\nlagoonlane_gateway_answers_cut_total\{cause="caller-left",[^}]*started="true"\} 1\n`)
	e.waitForMetric(`\nlagoonlane_connections\{[^}]*state="active"\} 0\n`)
	e.openStream("running")
	idle, err := net.Dial("tcp", e.front)
	e.c.Assert(err, qt.IsNil)
	defer idle.Close()
	fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n")
	var buffer [4096]byte
	_, err = idle.Read(buffer[:])
	e.c.Assert(err, qt.IsNil)
	e.waitForMetric(`\nlagoonlane_connections\{[^}]*state="active"\} 1\n`)
	e.waitForMetric(`\nlagoonlane_connections\{[^}]*state="idle"\} 1\n`)
	e.waitForMetric(`\nlagoonlane_gateway_running\{[^}]*\} 1\n`)
	stop(&stopError{})
	e.c.Assert(<-ended, qt.IsNil)

	outcomes, request, stopped := e.stopLines()
	e.c.Assert(outcomes, qt.DeepEquals, []string{"starting", "started", "stopping", "closing idle connections", "stopped"})
	e.c.Assert(request["cut_by"], qt.Equals, "stopped")
	e.c.Assert(stopped["requests_cut"], qt.Equals, 1.0)
	e.c.Assert(stopped["request_ids"], qt.DeepEquals, []any{"running"})
	e.c.Assert(stopped["closed_idle"], qt.Equals, 1.0)
	e.c.Assert(stopped["closed_arriving"], qt.Equals, 0.0)
	e.c.Assert(stopped["running"], qt.Equals, 0.0)
}

// Guards against panic output on standard error: a panic in a handler must be a structured log
// line.
func TestHandlerPanicIsLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	processLog, err := newLifecycleLog(zerolog.New(&out), noop.Meter{}, platform.Settings{})
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault") }))
	processLog.configureServer(server.Config, "front")
	server.Listener = processLog.wrapListener(server.Listener, "")
	server.Start()
	_, err = http.Get(server.URL)
	c.Assert(err, qt.IsNotNil)
	server.Close()
	c.Assert(out.String(), qt.Contains, `"server":"front"`)
	c.Assert(out.String(), qt.Contains, "a fault")
}

// waitReady waits until the readiness check succeeds.
func (e *testEntry) waitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	e.c.Fatal("not ready within 10 s")
}

// stopLines returns the ordered outcomes of a process that has ended, the line of the request that
// was cut, which must precede the last line, and the last line.
func (e *testEntry) stopLines() (outcomes []string, request, stopped map[string]any) {
	all := e.logLines()
	for i, line := range all {
		switch line["message"] {
		case "process":
			outcomes = append(outcomes, line["outcome"].(string))
			e.c.Assert(line["boot"], qt.Equals, all[0]["boot"])
		case "request":
			if line["request_id"] == "running" {
				e.c.Assert(i < len(all)-1, qt.IsTrue)
				request = line
			}
		}
	}
	stopping := slices.IndexFunc(all, func(line map[string]any) bool { return line["outcome"] == "stopping" })
	e.c.Assert(all[stopping]["cause"], qt.Equals, (&stopError{}).Error())
	e.c.Assert(all[stopping]["running"], qt.Equals, 1.0)
	return outcomes, request, all[len(all)-1]
}
