// Command lagoonlane runs one process of the request scheduler: an entry, which serves callers and
// operators, or a sidecar, which runs next to backend servers and controls access to them. Each
// role has two variants: entry and sidecar have lagoonlane's own interface; platform-entry and
// platform-sidecar have the interface of the users' platform.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lagoonlane/lagoonlane/internal/settings"
	"github.com/lagoonlane/lagoonlane/platform"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

const envPrefix = "LAGOONLANE"

func main() {
	ctx, signals := installSignalHandler()
	os.Exit(run(ctx, signals, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the command line, runs the command and returns the exit code.
func run(ctx context.Context, signals *signalHandler, args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(signals, stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(stderr, "lagoonlane:", err)
		return exitSettings
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), isSettingsError(err):
		fmt.Fprintln(stderr, "lagoonlane:", err)
		return exitSettings
	}
	fmt.Fprintln(stderr, "lagoonlane:", err)
	return exitFailed
}

// isSettingsError reports whether err is a settings error, which is detected before the process
// opens any socket.
func isSettingsError(err error) bool {
	var file *settings.FileError
	var syntax *settings.SyntaxError
	var key *settings.UnknownKeyError
	var value *settings.ValueError
	var platformSettings *platform.SettingsError
	return errors.As(err, &platformSettings) || errors.As(err, &file) || errors.As(err, &syntax) || errors.As(err, &key) || errors.As(err, &value)
}

func newRootCommand(signals *signalHandler, stdout, stderr io.Writer) *ffcli.Command {
	root := flag.NewFlagSet("lagoonlane", flag.ContinueOnError)
	root.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "lagoonlane",
		ShortUsage: "lagoonlane <entry|sidecar> --config FILE [--check] | lagoonlane <platform-entry|platform-sidecar> [--check]",
		FlagSet:    root,
		Subcommands: []*ffcli.Command{
			newRoleCommand("entry", "serve callers and operators", signals, stdout, stderr, checkEntry, runEntry),
			newRoleCommand("sidecar", "stand beside backend servers", signals, stdout, stderr, checkSidecar, runSidecar),
			newPlatformCommand("platform-entry", "serve callers on the users' platform", signals, stdout, stderr, runPlatformEntry),
			newPlatformCommand("platform-sidecar", "hand out an engine's slots on the users' platform", signals, stdout, stderr, runPlatformSidecar),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// checkFunc validates the settings file of a role.
type checkFunc func(path string) error

// serveFunc serves a role with the settings file at path until ctx is done.
type serveFunc func(ctx context.Context, signals *signalHandler, path string, logs io.Writer) error

func newRoleCommand(name, help string, signals *signalHandler, stdout, stderr io.Writer, check checkFunc, serve serveFunc) *ffcli.Command {
	flags := flag.NewFlagSet("lagoonlane "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("config", "", "settings file (TOML); required")
	onlyCheck := flags.Bool("check", false, "check the settings file and exit")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "lagoonlane " + name + " --config FILE [--check]",
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if !*onlyCheck {
				return serve(ctx, signals, *path, stderr)
			}
			if err := check(*path); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "%s: settings are good\n", *path)
			return nil
		},
	}
}

// platformFunc serves a role on the users' platform. A metricsPort of 0 selects the second
// internal port.
type platformFunc func(ctx context.Context, signals *signalHandler, metricsPort int) error

// newPlatformCommand returns the command for a role on the users' platform. The path of the
// settings file comes from an environment variable.
func newPlatformCommand(name, help string, signals *signalHandler, stdout, stderr io.Writer, serve platformFunc) *ffcli.Command {
	flags := flag.NewFlagSet("lagoonlane "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	metricsPort := flags.Int("metrics-port", 0, "port of the metrics page; 0: the second internal port")
	onlyCheck := flags.Bool("check", false, "check the settings file and exit")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "lagoonlane " + name + " [--metrics-port PORT] [--check]",
		ShortHelp:  help,
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			if !*onlyCheck {
				return serve(ctx, signals, *metricsPort)
			}
			if _, err := platform.LoadSettings(); err != nil {
				return err
			}
			fmt.Fprintln(stdout, "settings are good")
			return nil
		},
	}
}
