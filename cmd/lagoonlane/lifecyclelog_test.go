package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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

// noLedger ignores what a backend server sees.
type noLedger struct{}

func (noLedger) RecordArrival(*standin.Server, string, time.Time) {}
func (noLedger) RecordRun(standin.Run)                            {}

// told is an entry in this process, before one backend server that streams for long.
type told struct {
	c       *qt.C
	front   string
	ready   string
	metrics string
	file    string
	out     string
	backend *standin.Server
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// newTold has the shortest grace time in which a stop shows all its steps.
func newTold(t *testing.T) *told { return newToldWithGrace(t, 3500*time.Millisecond) }

func newToldWithGrace(t *testing.T, grace time.Duration) *told {
	c := qt.New(t)
	dir := c.TempDir()
	w := &told{c: c, front: freeAddress(c), ready: freeAddress(c), metrics: freeAddress(c), file: filepath.Join(dir, "settings.toml"), out: filepath.Join(dir, "log")}
	store := standin.NewStore()
	storing := httptest.NewServer(store)
	c.Cleanup(storing.Close)
	backend := &standin.Server{
		ID: "i-1", Service: "plain", RegisteredAddress: freeAddress(c), Slots: 4, Events: 1 << 20, StartedAt: time.Now(), Ledger: noLedger{},
	}
	backend.Address = backend.RegisteredAddress
	w.backend = backend
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
	_, port, err := net.SplitHostPort(freeAddress(c))
	c.Assert(err, qt.IsNil)
	var internal int
	_, err = fmt.Sscan(port, &internal)
	c.Assert(err, qt.IsNil)
	machine := standin.Machine{
		Name: "edge", IP: "127.0.0.1", Front: w.front, Ready: w.ready, Store: storing.Listener.Addr().String(), InternalPort: internal,
	}
	settings := strings.Replace(machine.Settings(), "grace_s = 8\n", fmt.Sprintf("grace_s = %g\n", grace.Seconds()), 1)
	c.Assert(os.WriteFile(w.file, []byte(settings), 0o600), qt.IsNil)
	t.Setenv(standin.SettingsVariable, w.file)
	out, err := os.Create(w.out)
	c.Assert(err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = out
	c.Cleanup(func() { os.Stdout = stdout; out.Close() })
	return w
}

// lines returns what the process wrote.
func (w *told) lines() []map[string]any {
	file, err := os.Open(w.out)
	w.c.Assert(err, qt.IsNil)
	defer file.Close()
	var all []map[string]any
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line map[string]any
		w.c.Assert(json.Unmarshal(scanner.Bytes(), &line), qt.IsNil)
		all = append(all, line)
	}
	return all
}

// page returns the metrics page.
func (w *told) page() string {
	response, err := http.Get("http://" + w.metrics + "/metrics")
	w.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	w.c.Assert(err, qt.IsNil)
	return string(body)
}

// open begins a stream, reads its first event and returns what closes its connection.
func (w *told) open(id string) (leave func()) {
	response, err := w.send(id, "/stream/x")
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { response.Body.Close() })
	w.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	_, err = bufio.NewReader(response.Body).ReadString('\n')
	w.c.Assert(err, qt.IsNil)
	return func() { response.Body.Close() }
}

// eventuallyShows waits until the metrics page has a line.
func (w *told) eventuallyShows(pattern string) {
	w.c.Helper()
	wanted := regexp.MustCompile(pattern)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if wanted.MatchString(w.page()) {
			return
		}
	}
	w.c.Fatalf("no %s within 5 s:\n%s", pattern, w.page())
}

// stopError is why a test stops a process.
type stopError struct{}

func (*stopError) Error() string { return "the test stops it" }

// run runs the entry until stop is called; ended gets its error.
func (w *told) run() (stop context.CancelCauseFunc, ended <-chan error) {
	ctx, stop := context.WithCancelCause(w.c.Context())
	_, port, err := net.SplitHostPort(w.metrics)
	w.c.Assert(err, qt.IsNil)
	var metricsPort int
	_, err = fmt.Sscan(port, &metricsPort)
	w.c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	_, signals := newSignals()
	go func() { done <- runPlatformEntry(ctx, signals, metricsPort) }()
	w.awaitReady()
	return stop, done
}

// send sends a request of a path and returns its answer.
func (w *told) send(id, path string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.front+path, strings.NewReader("p"))
	w.c.Assert(err, qt.IsNil)
	request.Host = standin.Host
	request.Header = standin.CallerRequest{ID: id, Key: "key-open", Timeout: time.Minute}.Header()
	return http.DefaultClient.Do(request)
}

// A request that had no byte of an answer at the end of the grace time lost its connection.
func TestRequestWithoutAnswerIsAnsweredAtTheEndOfTheGraceTime(t *testing.T) {
	w := newTold(t)
	w.backend.Hanging.Store(true)
	stop, ended := w.run()
	answered := make(chan error, 1)
	go func() {
		response, err := w.send("silent", "/call/x")
		if err == nil {
			defer response.Body.Close()
			w.c.Check(response.StatusCode, qt.Equals, http.StatusBadGateway)
			w.c.Check(response.Close, qt.IsTrue)
		}
		answered <- err
	}()
	w.eventuallyShows(`\nlagoonlane_gateway_running\{[^}]*\} 1\n`)
	stop(&stopError{})
	w.c.Assert(<-answered, qt.IsNil)
	w.c.Assert(<-ended, qt.IsNil)
}

func TestStopAndCutRequestsAreTold(t *testing.T) {
	w := newTold(t)
	stop, ended := w.run()
	w.open("left")()
	w.eventuallyShows(`\nlagoonlane_gateway_answers_cut_total\{cause="caller-left",[^}]*started="true"\} 1\n`)
	w.eventuallyShows(`\nlagoonlane_connections\{[^}]*state="active"\} 0\n`)
	w.open("running")
	idle, err := net.Dial("tcp", w.front)
	w.c.Assert(err, qt.IsNil)
	defer idle.Close()
	fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n")
	var some [4096]byte
	_, err = idle.Read(some[:])
	w.c.Assert(err, qt.IsNil)
	w.eventuallyShows(`\nlagoonlane_connections\{[^}]*state="active"\} 1\n`)
	w.eventuallyShows(`\nlagoonlane_connections\{[^}]*state="idle"\} 1\n`)
	w.eventuallyShows(`\nlagoonlane_gateway_running\{[^}]*\} 1\n`)
	stop(&stopError{})
	w.c.Assert(<-ended, qt.IsNil)

	outcomes, request, stopped := w.stopLines()
	w.c.Assert(outcomes, qt.DeepEquals, []string{"starting", "started", "stopping", "closing idle connections", "stopped"})
	w.c.Assert(request["cut_by"], qt.Equals, "stopped")
	w.c.Assert(stopped["requests_cut"], qt.Equals, 1.0)
	w.c.Assert(stopped["request_ids"], qt.DeepEquals, []any{"running"})
	w.c.Assert(stopped["closed_idle"], qt.Equals, 1.0)
	w.c.Assert(stopped["closed_arriving"], qt.Equals, 0.0)
	w.c.Assert(stopped["running"], qt.Equals, 0.0)
}

// A panic in a handler is a line of the log, not text on standard error.
func TestPanicOfAHandlerIsALine(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	life, err := newLifecycleLog(zerolog.New(&out), noop.Meter{}, platform.Settings{})
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault") }))
	life.prepared(server.Config, "front")
	server.Start()
	_, err = http.Get(server.URL)
	c.Assert(err, qt.IsNotNil)
	server.Close()
	c.Assert(out.String(), qt.Contains, `"server":"front"`)
	c.Assert(out.String(), qt.Contains, "a fault")
}

// awaitReady waits until the balancer would use the entry.
func (w *told) awaitReady() {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + w.ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	w.c.Fatal("not ready within 10 s")
}

// stopLines returns the outcomes of a process that has ended, in order, the line of the
// request that it cut, which must come before the last one, and the last line.
func (w *told) stopLines() (outcomes []string, request, stopped map[string]any) {
	all := w.lines()
	for i, line := range all {
		switch line["message"] {
		case "process":
			outcomes = append(outcomes, line["outcome"].(string))
			w.c.Assert(line["boot"], qt.Equals, all[0]["boot"])
		case "request":
			if line["request_id"] == "running" {
				w.c.Assert(i < len(all)-1, qt.IsTrue)
				request = line
			}
		}
	}
	stopping := slices.IndexFunc(all, func(line map[string]any) bool { return line["outcome"] == "stopping" })
	w.c.Assert(all[stopping]["cause"], qt.Equals, (&stopError{}).Error())
	w.c.Assert(all[stopping]["running"], qt.Equals, 1.0)
	return outcomes, request, all[len(all)-1]
}
