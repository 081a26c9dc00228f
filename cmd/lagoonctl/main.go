// Command lagoonctl is the command line tool for operators. It manages tiers, client accounts,
// routes and backend server versions, plans and confirms moves, and shows the configuration and
// its audit trail. It can use any entry.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// defaultEntry is the URL of an entry in a local deployment.
const defaultEntry = "http://127.0.0.1:8080"

// envPrefix is the prefix of environment variables that set flags, such as
// LAGOONLANE_OPERATOR_KEY.
const envPrefix = "LAGOONLANE"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	tool := &tool{stdout: stdout}
	root := tool.command(stderr)
	err := root.Parse(args)
	if err == nil {
		err = tool.prepare()
	}
	if err == nil {
		err = root.Run(ctx)
	}
	return exitCode(err, stderr)
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	var usage *UsageError
	var problem *ProblemError
	var unreadable *UnreadableError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, "lagoonctl:", usage)
		return exitUsage
	case errors.As(err, &unreadable):
		fmt.Fprintln(stderr, "lagoonctl:", unreadable)
		return exitUsage
	case errors.As(err, &problem) && problem.conflict():
		fmt.Fprintln(stderr, "lagoonctl:", problem)
		return exitConflict
	}
	fmt.Fprintln(stderr, "lagoonctl:", err)
	return exitFailed
}

// tool holds the global flags and the client that all commands share.
type tool struct {
	stdout io.Writer
	entry  string
	key    string
	output string
	client *client
}

func (t *tool) command(stderr io.Writer) *ffcli.Command {
	flags := t.flagSet("lagoonctl", stderr)
	return &ffcli.Command{
		ShortUsage: "lagoonctl [--entry URL] [--output table|json] COMMAND",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Subcommands: []*ffcli.Command{
			t.tierCommand(stderr),
			t.accountCommand(stderr),
			t.routeCommand(stderr),
			t.versionCommand(stderr),
			t.moveCommand(stderr),
			t.applyCommand(stderr),
			t.statusCommand(stderr),
			t.auditCommand(stderr),
			t.configCommand(stderr),
		},
		Exec: noCommand,
	}
}

// prepare validates the global flags and creates the client. It returns *UsageError.
func (t *tool) prepare() error {
	if t.output != "table" && t.output != "json" {
		return &UsageError{Text: "--output is table or json"}
	}
	t.client = newClient(t.entry, t.key)
	return nil
}

// flagSet returns a flag set with the global flags, which are accepted both before and after the
// name of a command.
func (t *tool) flagSet(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&t.entry, "entry", defaultEntry, "URL of an entry")
	flags.StringVar(&t.key, "key", "", "operator key (better in LAGOONLANE_OPERATOR_KEY)")
	flags.StringVar(&t.key, "operator-key", "", "same as --key")
	flags.StringVar(&t.output, "output", "table", "table or json")
	return flags
}

// group returns a command that only has subcommands.
func (t *tool) group(name, help string, stderr io.Writer, subcommands ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:        name,
		ShortUsage:  "lagoonctl " + name + " COMMAND",
		ShortHelp:   help,
		FlagSet:     t.flagSet(name, stderr),
		Subcommands: subcommands,
		Exec:        noCommand,
	}
}

func noCommand(context.Context, []string) error {
	return &UsageError{Text: "no command; see --help"}
}

// oneArg returns the only argument, or *UsageError if there is not exactly one.
func oneArg(args []string, what string) (string, error) {
	if len(args) != 1 || args[0] == "" {
		return "", &UsageError{Text: "expected one argument: " + what}
	}
	return args[0], nil
}
