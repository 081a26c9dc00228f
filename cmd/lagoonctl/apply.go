package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/configcheck"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
)

// difference is one entity of a file that is missing from the current configuration or differs
// from it.
type difference struct {
	Entity string `json:"entity"`
	Change string `json:"change"`
	// Current is the entity in the current configuration, if it exists; Wanted is the entity of
	// the file.
	Current  json.RawMessage `json:"current,omitempty"`
	Wanted   json.RawMessage `json:"wanted"`
	path     string
	revision uint64
	wanted   proto.Message
}

func (t *tool) applyCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "lagoonctl apply FILE",
		ShortHelp:  "put the tiers, versions, client accounts and routes of a TOML or JSON file; idempotent",
		FlagSet:    t.flagSet("apply", stderr),
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArg(args, "TOML or JSON file")
			if err != nil {
				return err
			}
			return t.apply(ctx, file)
		},
	}
}

func (t *tool) apply(ctx context.Context, file string) error {
	differences, err := t.differences(ctx, file)
	if err != nil {
		return err
	}
	for _, d := range differences {
		entry, err := t.client.put(ctx, d.path, d.revision, d.wanted)
		if err != nil {
			return err
		}
		if err := t.printEntry(entry); err != nil {
			return err
		}
	}
	if len(differences) == 0 && t.output == "table" {
		fmt.Fprintln(t.stdout, "nothing to change")
	}
	return nil
}

func (t *tool) diffCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "lagoonctl config diff FILE",
		ShortHelp:  "show what apply would change",
		FlagSet:    t.flagSet("diff", stderr),
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArg(args, "TOML or JSON file")
			if err != nil {
				return err
			}
			differences, err := t.differences(ctx, file)
			if err != nil {
				return err
			}
			return t.printDifferences(differences)
		},
	}
}

func (t *tool) printDifferences(differences []difference) error {
	if t.output == "json" {
		return t.json(differences)
	}
	var rows [][]string
	for _, d := range differences {
		rows = append(rows, []string{d.Change, d.Entity, fmt.Sprint(d.revision)})
	}
	return t.table([]string{"CHANGE", "ENTITY", "FROM"}, rows)
}

// differences compares a file with the current configuration. In the result, each entity comes
// after the entities that it refers to.
func (t *tool) differences(ctx context.Context, file string) ([]difference, error) {
	wanted, err := readFile(file)
	if err != nil {
		return nil, err
	}
	var all []difference
	add := func(path, entity string, wanted, current proto.Message) error {
		revision, err := t.client.lookup(ctx, path, current)
		if err != nil {
			return err
		}
		if revision != 0 && configcheck.Same(wanted, current) {
			return nil
		}
		d, err := newDifference(entity, revision, wanted, current)
		d.path = path
		all = append(all, d)
		return err
	}
	for _, tier := range wanted.tiers {
		if err := add("tiers/"+tier.GetName(), config.TierEntity(tier.GetName()), tier, newTier()); err != nil {
			return nil, err
		}
	}
	for _, version := range wanted.versions {
		key := config.VersionKey(version.GetPool(), version.GetName())
		if err := add("versions/"+key, "version/"+key, version, newVersion()); err != nil {
			return nil, err
		}
	}
	for _, account := range wanted.accounts {
		if err := add("accounts/"+account.GetName(), config.AccountEntity(account.GetName()), account, newAccount()); err != nil {
			return nil, err
		}
	}
	for _, route := range wanted.routes {
		if err := add("routes/"+route.GetName(), config.RouteEntity(route.GetName()), route, newRoute()); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// newDifference describes an entity of a file that is new (revision 0) or differs from the current
// one.
func newDifference(entity string, revision uint64, wanted, current proto.Message) (difference, error) {
	d := difference{Entity: entity, Change: "create", revision: revision, wanted: wanted}
	var err error
	if d.Wanted, err = operatorapi.Marshal(wanted); err != nil {
		return d, err
	}
	if revision == 0 {
		return d, nil
	}
	d.Change = "change"
	d.Current, err = operatorapi.Marshal(current)
	return d, err
}
