package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// listCommand returns a command that prints all entities of a kind.
func listCommand[M proto.Message](t *tool, kind string, stderr io.Writer, header []string, newM func() M, row func(M) []string) *ffcli.Command {
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "lagoonctl " + strings.TrimSuffix(kind, "s") + " list",
		ShortHelp:  "list all " + kind,
		FlagSet:    t.flagSet("list", stderr),
		Exec: func(ctx context.Context, _ []string) error {
			list, err := t.client.list(ctx, kind)
			if err != nil {
				return err
			}
			return printItems(t, list.Items, header, newM, row)
		},
	}
}

func printItems[M proto.Message](t *tool, items []operatorapi.Item, header []string, newM func() M, row func(M) []string) error {
	if t.output == "json" {
		return t.json(items)
	}
	var rows [][]string
	for _, item := range items {
		message := newM()
		if err := decodeMessage(item.Value, message); err != nil {
			return err
		}
		rows = append(rows, append(row(message), strconv.FormatUint(item.Revision, 10)))
	}
	return t.table(append(header, "REVISION"), rows)
}

func newTier() *configpb.Tier              { return &configpb.Tier{} }
func newAccount() *configpb.ClientAccount  { return &configpb.ClientAccount{} }
func newRoute() *configpb.Route            { return &configpb.Route{} }
func newVersion() *configpb.BackendVersion { return &configpb.BackendVersion{} }
func newMove() *configpb.Move              { return &configpb.Move{} }

var tierHeader = []string{"NAME", "RANK", "TIMEOUT_MS", "DESCRIPTION"}

func tierRow(tier *configpb.Tier) []string {
	return []string{tier.GetName(), fmt.Sprint(tier.GetRank()), fmt.Sprint(tier.GetDefaultTimeoutMs()), tier.GetDescription()}
}

var accountHeader = []string{"NAME", "TIERS", "WEIGHT", "CONCURRENT", "REQUESTS_S", "TOKENS_S", "KEYS", "DISABLED"}

func accountRow(account *configpb.ClientAccount) []string {
	limits := account.GetLimits()
	return []string{
		account.GetName(),
		strings.Join(account.GetTiers(), ","),
		fmt.Sprint(max(1, account.GetWeight())),
		fmt.Sprint(limits.GetMaxConcurrent()),
		fmt.Sprint(limits.GetRequestsPerSecond()),
		fmt.Sprint(limits.GetTokensPerSecond()),
		fmt.Sprint(len(account.GetKeys())),
		fmt.Sprint(account.GetDisabled()),
	}
}

var routeHeader = []string{"NAME", "KIND", "POOL", "SHARES_BP", "ACCOUNTS"}

func routeRow(route *configpb.Route) []string {
	accounts := "all"
	if len(route.GetAccounts()) > 0 {
		accounts = strings.Join(route.GetAccounts(), ",")
	}
	return []string{route.GetName(), shortEnumName(route.GetKind(), "BACKEND_KIND_"), route.GetPool(), formatShares(route.GetShares()), accounts}
}

var versionHeader = []string{"POOL", "NAME", "STATE", "ARTIFACT", "BYTES", "REASON"}

func versionRow(version *configpb.BackendVersion) []string {
	return []string{
		version.GetPool(),
		version.GetName(),
		shortEnumName(version.GetState(), "VERSION_STATE_"),
		version.GetArtifact(),
		fmt.Sprint(version.GetSizeBytes()),
		version.GetReason(),
	}
}

var moveHeader = []string{"ID", "POOL", "FROM", "TO", "STATE", "STEP", "SHARE_BP", "FINISH_BY", "CHANGED", "REASON"}

func moveRow(move *configpb.Move) []string {
	return []string{
		move.GetId(),
		move.GetPool(),
		move.GetFromVersion(),
		move.GetToVersion(),
		shortEnumName(move.GetState(), "MOVE_STATE_"),
		fmt.Sprintf("%d/%d", move.GetStep(), len(move.GetSteps())),
		fmt.Sprint(move.GetShareBp()),
		formatTime(move.GetFinishByUnixMs()),
		formatTime(move.GetChangedUnixMs()),
		move.GetReason(),
	}
}
