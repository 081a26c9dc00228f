package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lagoonlane/lagoonlane/internal/configcheck"
)

// FindingsError reports that a configuration has problems, which have been printed.
type FindingsError struct{ Findings int }

func (e *FindingsError) Error() string { return fmt.Sprintf("%d findings", e.Findings) }

// UnreadableError reports that a file to check can't be read.
type UnreadableError struct{ Cause error }

func (e *UnreadableError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// checkResult is the result of a check in JSON.
type checkResult struct {
	Findings []configcheck.Finding `json:"findings"`
	// Changes is what differs from the configuration in force, if there is one to compare with.
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func (t *tool) checkCommand(stderr io.Writer) *ffcli.Command {
	flags := t.flagSet("check", stderr)
	inForce := flags.String("against", "", "file with the configuration in force, to show what differs")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "lagoonctl config check [--against FILE] FILE",
		ShortHelp:  "check a configuration file without sending it: errors, entries that never match, limits that contradict each other",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			file, err := oneArg(args, "TOML or JSON file")
			if err != nil {
				return err
			}
			return t.check(file, *inForce)
		},
	}
}

// check prints the problems of a file, and what differs from the one in force unless that is "". It returns
// *UnreadableError or, if there are problems, *FindingsError.
func (t *tool) check(file, inForce string) error {
	wanted, err := readFile(file)
	if err != nil {
		return &UnreadableError{Cause: err}
	}
	result := checkResult{Findings: configcheck.Check(wanted.configuration())}
	if inForce != "" {
		current, err := readFile(inForce)
		if err != nil {
			return &UnreadableError{Cause: err}
		}
		result.Changes = configcheck.Differences(wanted.configuration(), current.configuration())
	}
	if err := t.printCheck(result); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &FindingsError{Findings: len(result.Findings)}
	}
	return nil
}

func (t *tool) printCheck(result checkResult) error {
	if t.output == "json" {
		return t.json(result)
	}
	if len(result.Findings) == 0 {
		fmt.Fprintln(t.stdout, "no findings")
	}
	var rows [][]string
	for _, f := range result.Findings {
		rows = append(rows, []string{string(f.Severity), f.Entity, f.Problem})
	}
	if len(rows) > 0 {
		if err := t.table([]string{"SEVERITY", "ENTITY", "PROBLEM"}, rows); err != nil {
			return err
		}
	}
	rows = nil
	for _, c := range result.Changes {
		rows = append(rows, []string{c.Change, c.Entity})
	}
	if len(rows) == 0 {
		return nil
	}
	return t.table([]string{"CHANGE", "ENTITY"}, rows)
}

func (e *entities) configuration() configcheck.Configuration {
	return configcheck.Configuration{Tiers: e.tiers, Versions: e.versions, Accounts: e.accounts, Routes: e.routes}
}
