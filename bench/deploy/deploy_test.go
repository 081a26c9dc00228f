package deploy

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/standin/logserver"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

// TestStandInProcesses covers the life cycle of processes, with the platform's stand-ins only.
func TestStandInProcesses(t *testing.T) {
	c := qt.New(t)
	bin := c.TempDir()
	c.Assert(Build(t.Context(), bin, "./bench/cmd/standin"), qt.IsNil)
	d, err := Start(t.Context(), Spec{Name: "test", BinDir: bin, Dir: c.TempDir()})
	c.Assert(err, qt.IsNil)
	defer d.Close()

	var instances []platform.Instance
	c.Assert(d.GetJSON(t.Context(), NameInstances, "/v1/instances", &instances), qt.IsNil)
	c.Assert(instances, qt.HasLen, 0)
	c.Assert(d.SetSwitches(t.Context(), NameLog, logserver.Switches{Down: true}), qt.IsNil)

	log := d.Process(NameLog)
	c.Assert(log.Pause(), qt.IsNil)
	shortCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var stats logserver.Stats
	c.Assert(d.GetJSON(shortCtx, NameLog, "/stats", &stats), qt.Not(qt.IsNil))
	c.Assert(log.Resume(), qt.IsNil)
	c.Assert(d.GetJSON(t.Context(), NameLog, "/stats", &stats), qt.IsNil)

	var running *StillRunningError
	c.Assert(errors.As(log.Restart(t.Context()), &running), qt.IsTrue)
	c.Assert(log.Kill(), qt.IsNil)
	code, err := log.Wait(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, -1)
	c.Assert(log.Restart(t.Context()), qt.IsNil)
	c.Assert(log.Terminate(), qt.IsNil)
	code, err = log.Wait(t.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, 0)
}

// The generated settings files must be valid for the processes that read them.
func TestSettingsAreGood(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path, err := writeSettings(dir, settingsValues{
		ID: "entry-1", DataCentre: "budapest-1", Internal: "127.0.0.1:1", Public: "127.0.0.1:2",
		PeerKey: newSecret(), LogLevel: "info", Log: "http://127.0.0.1:3",
		Instances: "http://127.0.0.1:4", Weights: "http://127.0.0.1:5",
		Operator: OperatorName, OperatorSHA256: sha256Hex("key"),
	})
	c.Assert(err, qt.IsNil)
	_, err = settings.LoadEntry(path)
	c.Assert(err, qt.IsNil)
	path, err = writeSettings(dir, settingsValues{
		ID: "sidecar-1", DataCentre: "budapest-1", Internal: "127.0.0.1:1", PeerKey: newSecret(),
		LogLevel: "info", Log: "http://127.0.0.1:3", Instances: "http://127.0.0.1:4",
		BackendServers: []backendValues{
			{ID: "engine-1", Kind: "engine", Pool: "model", Address: "http://127.0.0.1:6"},
			{ID: "ledger-1", Kind: "service", Pool: "ledger", Address: "http://127.0.0.1:7", Version: "v1"},
		},
	})
	c.Assert(err, qt.IsNil)
	_, err = settings.LoadSidecar(path)
	c.Assert(err, qt.IsNil)
}
