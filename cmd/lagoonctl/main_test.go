package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/logstream"
	"github.com/lagoonlane/lagoonlane/internal/platform/platformtest"
	"github.com/lagoonlane/lagoonlane/internal/query"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/settings"
)

const configFile = `
[[tiers]]
name = "top"
rank = 0
default_timeout_ms = 30000

[[versions]]
pool = "press"
name = "v1"
state = "proven"

[[versions]]
pool = "press"
name = "v2"

[[accounts]]
name = "erdenet"
tiers = ["top"]
weight = 2
keys = [{ id = "k1", sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" }]
limits = { max_concurrent = 10, requests_per_second = 5.5 }

[[routes]]
name = "ribline/press"
kind = "engine"
pool = "press"
shares = [{ version = "v1", share_bp = 10000 }]
`

// planner is a planner whose moves have a single step. It rejects every target version but v2.
type planner struct{ view config.View }

func (p *planner) Plan(_ context.Context, intent command.Intent) (*configpb.Move, map[string]uint64, error) {
	if intent.ToVersion != "v2" {
		return nil, nil, &command.InfeasibleError{Move: intent.ID, Reason: "no such version"}
	}
	routes := []string{"ribline/press"}
	move := &configpb.Move{Id: intent.ID, Pool: intent.Pool, FromVersion: intent.FromVersion, ToVersion: intent.ToVersion,
		Routes: routes, FinishByUnixMs: intent.FinishBy.UnixMilli(), Steps: []*configpb.MoveStep{{Kind: configpb.StepKind_STEP_KIND_SHARE}}}
	revision := p.view.Current().GetRevisions()[config.RouteEntity(routes[0])]
	return move, map[string]uint64{routes[0]: revision}, nil
}

// testEntry serves the operator API of an entry that uses an in-memory log.
type testEntry struct {
	c    *qt.C
	url  string
	log  *platformtest.Log
	file string
}

func newTestEntry(t *testing.T) *testEntry {
	e := &testEntry{c: qt.New(t), log: platformtest.NewLog(), file: filepath.Join(t.TempDir(), "config.toml")}
	holder := &config.Holder{}
	log := logstream.New(logstream.Options{Log: e.log.Conn(), Author: "entry-1", Holder: holder, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { _ = log.Run(ctx) })
	hash := sha256.Sum256([]byte("secret"))
	operators := []settings.Operator{{Name: "dorka", KeySHA256: hex.EncodeToString(hash[:])}}
	mux := http.NewServeMux()
	command.Register(mux, command.Options{Log: log, Config: holder, Planner: &planner{view: holder}, Operators: operators})
	query.Register(mux, query.Options{Config: holder, Log: log, Operators: operators})
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.Close()
		cancel()
		ended.Wait()
	})
	e.url = server.URL
	e.c.Assert(os.WriteFile(e.file, []byte(configFile), 0o600), qt.IsNil)
	return e
}

func (e *testEntry) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), append([]string{"--entry", e.url, "--key", "secret"}, args...), &out, &out)
	return code, out.String()
}

func (e *testEntry) mustRun(args ...string) string {
	e.c.Helper()
	code, out := e.run(args...)
	e.c.Assert(code, qt.Equals, exitOK, qt.Commentf("%v: %s", args, out))
	return out
}

func TestApplyIsIdempotent(t *testing.T) {
	e := newTestEntry(t)
	e.c.Assert(e.mustRun("config", "diff", e.file), qt.Contains, "create")
	e.c.Assert(e.mustRun("apply", e.file), qt.Contains, "put route/ribline/press: accepted")
	e.c.Assert(e.mustRun("apply", e.file), qt.Equals, "nothing to change\n")
	e.mustRun("tier", "put", "--rank", "9", "top")
	e.c.Assert(e.mustRun("config", "diff", e.file), qt.Matches, `(?s)CHANGE.*change  tier/top .*`)
	e.c.Assert(e.mustRun("--output", "json", "config", "diff", e.file), qt.Contains, `"rank": 9`)
	e.mustRun("apply", e.file)
	e.c.Assert(e.mustRun("account", "list"), qt.Contains, "erdenet")
	e.c.Assert(e.mustRun("status", "--output", "json"), qt.Contains, `"routes": 1`)
	e.c.Assert(e.mustRun("audit"), qt.Contains, "dorka")
	e.c.Assert(e.mustRun("config", "show"), qt.Contains, "ribline/press")
}

func TestKeyIsShownOnceAndStoredAsHash(t *testing.T) {
	e := newTestEntry(t)
	e.mustRun("apply", e.file)
	out := e.mustRun("account", "new-key", "--id", "k2", "erdenet")
	key := out[len(out)-len(keyPrefix)-2*keyBytes-1 : len(out)-1]
	e.c.Assert(key[:len(keyPrefix)], qt.Equals, keyPrefix)
	e.c.Assert(e.mustRun("config", "show"), qt.Not(qt.Contains), key)
	for _, record := range e.log.Records("lagoonlane.config") {
		e.c.Assert(bytes.Contains(record.Data, []byte(key)), qt.IsFalse)
	}
}

func TestMovesArePlannedConfirmedAndReversed(t *testing.T) {
	e := newTestEntry(t)
	e.mustRun("apply", e.file)
	plan := filepath.Join(t.TempDir(), "plan.json")
	e.c.Assert(e.mustRun("move", "plan", "--id", "m1", "--pool", "press", "--from", "v1", "--to", "v2", "--finish-by", "30m", "--file", plan),
		qt.Contains, "move m1")
	e.c.Assert(e.mustRun("move", "confirm", plan), qt.Contains, "confirm move/m1: accepted")
	code, out := e.run("move", "confirm", plan)
	e.c.Assert(code, qt.Equals, exitConflict)
	e.c.Assert(out, qt.Contains, "winner: operator dorka, confirm of move/m1")
	e.c.Assert(e.mustRun("move", "reverse", "m1"), qt.Contains, "accepted")
	e.c.Assert(e.mustRun("move", "list"), qt.Contains, "reversing")
	code, _ = e.run("move", "plan", "--pool", "press", "--from", "v1", "--to", "v9", "--finish-by", "30m")
	e.c.Assert(code, qt.Equals, exitFailed)
}

func TestExitCodes(t *testing.T) {
	e := newTestEntry(t)
	for code, args := range map[int][]string{
		exitUsage:  {"tier", "put"},
		exitFailed: {"move", "reverse", "none"},
	} {
		got, out := e.run(args...)
		e.c.Assert(got, qt.Equals, code, qt.Commentf("%v: %s", args, out))
	}
	code, out := e.run("--key", "wrong", "status")
	e.c.Assert(code, qt.Equals, exitFailed)
	e.c.Assert(out, qt.Contains, "operator key")
	code, _ = e.run("--output", "xml", "status")
	e.c.Assert(code, qt.Equals, exitUsage)
	e.mustRun("tier", "put", "--rank", "3", "low")
	e.c.Assert(e.mustRun("tier", "list"), qt.Contains, "low")
	e.mustRun("tier", "delete", "low")
}

// brokenOutput fails every write, like a full disk or a closed pipe.
type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, os.ErrClosed }

// Guards against write errors that are reported as empty output.
func TestOutputThatFailsIsAnError(t *testing.T) {
	c := qt.New(t)
	broken := &tool{stdout: brokenOutput{}}
	c.Assert(broken.table([]string{"A"}, [][]string{{"b"}}), qt.ErrorIs, os.ErrClosed)
	c.Assert(broken.printDifferences(nil), qt.ErrorIs, os.ErrClosed)
}

func TestVersionIsNamedWithItsPool(t *testing.T) {
	c := qt.New(t)
	c.Assert(setName(&configpb.BackendVersion{}, "press/v1"), qt.IsNil)
	var usage *UsageError
	c.Assert(setName(&configpb.BackendVersion{}, "v1"), qt.ErrorAs, &usage)
}
