package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const columnGap = 2

// table prints rows under a header. Write errors are returned by the final flush.
func (t *tool) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(t.stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "output")
}

// json prints a value as indented JSON.
func (t *tool) json(value any) error {
	encoder := json.NewEncoder(t.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printEntry prints the audit entry of an accepted change.
func (t *tool) printEntry(entry *configpb.AuditEntry) error {
	if t.output == "json" {
		data, err := operatorapi.Marshal(entry)
		if err != nil {
			return err
		}
		return t.json(json.RawMessage(data))
	}
	fmt.Fprintf(t.stdout, "%s %s: accepted at offset %d (operation %s)\n",
		entry.GetAction(), entry.GetEntity(), entry.GetOffset(), entry.GetOperationId())
	return nil
}

func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

func formatShares(shares []*configpb.VersionShare) string {
	var parts []string
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%s=%d", share.GetVersion(), share.GetShareBp()))
	}
	return strings.Join(parts, ",")
}

// shortEnumName returns the short form of an enum value: "done" for MOVE_STATE_DONE.
func shortEnumName(value fmt.Stringer, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(value.String(), prefix))
}
