package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func (t *tool) statusCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:      "status",
		ShortHelp: "show how an entry stands: offset, log, moves, contained versions",
		FlagSet:   t.flagSet("status", stderr),
		Exec: func(ctx context.Context, _ []string) error {
			status := operatorapi.Status{}
			if err := t.client.get(ctx, "status", &status); err != nil {
				return err
			}
			return t.printStatus(status)
		},
	}
}

func (t *tool) printStatus(status operatorapi.Status) error {
	if t.output == "json" {
		return t.json(status)
	}
	log := "up"
	if status.LogDown {
		log = "down"
	}
	err := t.table([]string{"OFFSET", "READY", "LOG", "TIERS", "ACCOUNTS", "ROUTES", "VERSIONS", "CONTAINED", "LEASES"}, [][]string{{
		fmt.Sprint(status.Offset), fmt.Sprint(status.Ready), log, fmt.Sprint(status.Tiers), fmt.Sprint(status.Accounts),
		fmt.Sprint(status.Routes), fmt.Sprint(status.Versions), fmt.Sprint(len(status.Contained)), fmt.Sprint(len(status.Leases)),
	}})
	if err != nil {
		return err
	}
	for _, contained := range status.Contained {
		fmt.Fprintln(t.stdout, "contained:", contained)
	}
	if len(status.Moves) == 0 {
		return nil
	}
	return printItems(t, status.Moves, moveHeader, newMove, moveRow)
}

func (t *tool) auditCommand(stderr io.Writer) *ffcli.Command {
	flags := t.flagSet("audit", stderr)
	entity := flags.String("entity", "", "only this entity, such as route/press")
	operator := flags.String("operator", "", "only this operator or process")
	operation := flags.String("operation", "", "only this operation id")
	after := flags.Uint64("after", 0, "only offsets over this one")
	limit := flags.Int("limit", 0, "number of entries; default 100")
	return &ffcli.Command{
		Name:      "audit",
		ShortHelp: "show who changed what, newest first",
		FlagSet:   flags,
		Exec: func(ctx context.Context, _ []string) error {
			query := url.Values{}
			for key, value := range map[string]string{"entity": *entity, "operator": *operator, "operation_id": *operation} {
				if value != "" {
					query.Set(key, value)
				}
			}
			if *after > 0 {
				query.Set("after", strconv.FormatUint(*after, 10))
			}
			if *limit > 0 {
				query.Set("limit", strconv.Itoa(*limit))
			}
			return t.audit(ctx, query)
		},
	}
}

func (t *tool) audit(ctx context.Context, query url.Values) error {
	list := operatorapi.List{}
	if err := t.client.get(ctx, "audit?"+query.Encode(), &list); err != nil {
		return err
	}
	if t.output == "json" {
		return t.json(list)
	}
	var rows [][]string
	for _, item := range list.Items {
		entry := &configpb.AuditEntry{}
		if err := decodeMessage(item.Value, entry); err != nil {
			return err
		}
		rows = append(rows, []string{
			fmt.Sprint(entry.GetOffset()), formatTime(entry.GetUnixMs()), entry.GetOperator(), entry.GetAction(), entry.GetEntity(),
			fmt.Sprint(entry.GetExpectedRevision()), shortEnumName(entry.GetResult(), "AUDIT_RESULT_"), auditDetail(entry),
		})
	}
	return t.table([]string{"OFFSET", "TIME", "OPERATOR", "ACTION", "ENTITY", "FROM", "RESULT", "DETAIL"}, rows)
}

func auditDetail(entry *configpb.AuditEntry) string {
	if entry.GetResult() == configpb.AuditResult_AUDIT_RESULT_CONFLICT {
		return fmt.Sprintf("winner %s at %d", entry.GetDetail(), entry.GetWinnerOffset())
	}
	return entry.GetDetail()
}

func (t *tool) configCommand(stderr io.Writer) *ffcli.Command {
	show := &ffcli.Command{
		Name:      "show",
		ShortHelp: "print the configuration in force as JSON",
		FlagSet:   t.flagSet("show", stderr),
		Exec: func(ctx context.Context, _ []string) error {
			var all json.RawMessage
			if err := t.client.get(ctx, "config", &all); err != nil {
				return err
			}
			return t.json(all)
		},
	}
	return t.group("config", "the configuration in force", stderr, show, t.diffCommand(stderr), t.checkCommand(stderr))
}
