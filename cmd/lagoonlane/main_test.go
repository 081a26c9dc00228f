package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCheckAcceptsExampleSettings(t *testing.T) {
	for _, role := range []string{"entry", "sidecar"} {
		t.Run(role, func(t *testing.T) {
			c := qt.New(t)
			ctx, signals := newSignalHandler()
			var stdout, stderr bytes.Buffer
			path := filepath.Join("..", "..", "examples", role+".toml")
			code := run(ctx, signals, []string{role, "--config", path, "--check"}, &stdout, &stderr)
			c.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", stderr.String()))
			c.Assert(stdout.String(), qt.Contains, "settings are good")
		})
	}
}

func TestBadSettingsExitWithTwo(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.toml")
	c.Assert(os.WriteFile(path, []byte("[process]\nid = \"a\"\ncolour = 1\n"), 0o600), qt.IsNil)
	for name, args := range map[string][]string{
		"unknown key":   {"entry", "--config", path},
		"no file":       {"sidecar", "--config", filepath.Join(c.TempDir(), "none.toml")},
		"unknown flag":  {"entry", "--colour"},
		"no subcommand": {},
		"unknown role":  {"clerk"},
	} {
		c.Run(name, func(c *qt.C) {
			ctx, signals := newSignalHandler()
			var stdout, stderr bytes.Buffer
			code := run(ctx, signals, args, &stdout, &stderr)
			c.Assert(code, qt.Equals, exitSettings, qt.Commentf("%s", stderr.String()))
			c.Assert(stderr.String(), qt.Not(qt.Equals), "")
		})
	}
}
