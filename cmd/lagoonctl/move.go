package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// watchWait is the long-poll timeout of one request of a watch.
const watchWait = 20 * time.Second

func (t *tool) moveCommand(stderr io.Writer) *ffcli.Command {
	return t.group("move", "dated moves of traffic between versions", stderr,
		t.planCommand(stderr),
		t.confirmCommand(stderr),
		t.watchCommand(stderr),
		t.reverseCommand(stderr),
		listCommand(t, "moves", stderr, moveHeader, newMove, moveRow))
}

func (t *tool) planCommand(stderr io.Writer) *ffcli.Command {
	flags := t.flagSet("plan", stderr)
	intent := operatorapi.Intent{}
	flags.StringVar(&intent.ID, "id", "", "id of the move; default: made by the entry")
	flags.StringVar(&intent.Pool, "pool", "", "pool of backend servers")
	flags.StringVar(&intent.FromVersion, "from", "", "version that the traffic leaves")
	flags.StringVar(&intent.ToVersion, "to", "", "version that the traffic goes to")
	routes := flags.String("routes", "", "routes that move; default: all that use the old version")
	finishBy := flags.String("finish-by", "", "time (RFC 3339) or duration from now, such as 30m")
	file := flags.String("file", "", "file that the plan is written to, for move confirm")
	confirm := flags.Bool("confirm", false, "confirm the plan at once")
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "lagoonctl move plan --pool P --from V1 --to V2 --finish-by 30m [--file PLAN]",
		ShortHelp:  "ask whether and how a move can be done by a time",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			deadline, err := parseFinish(*finishBy, time.Now())
			if err != nil {
				return err
			}
			intent.FinishBy = deadline
			if err := parseList(*routes, &intent.Routes); err != nil {
				return err
			}
			return t.plan(ctx, intent, *file, *confirm)
		},
	}
}

func parseFinish(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return now.Add(d), nil
	}
	finish, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return finish, &UsageError{Text: "--finish-by is a time (RFC 3339) or a duration"}
	}
	return finish, nil
}

func (t *tool) plan(ctx context.Context, intent operatorapi.Intent, file string, confirm bool) error {
	body, err := json.Marshal(intent)
	if err != nil {
		return errors.Wrap(err, "encoding the intent")
	}
	data, err := t.client.send(ctx, request{method: http.MethodPost, path: "moves/plan", body: body})
	if err != nil {
		return err
	}
	if file != "" {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return &FileError{File: file, Cause: err}
		}
	}
	if confirm {
		return t.confirm(ctx, data)
	}
	return t.printPlan(data)
}

func (t *tool) printPlan(data []byte) error {
	if t.output == "json" {
		return t.json(json.RawMessage(data))
	}
	plan := &configpb.Command{}
	if err := decodeMessage(data, plan); err != nil {
		return err
	}
	move := plan.GetConfirmMove()
	fmt.Fprintf(t.stdout, "move %s: pool %s, %s to %s, routes %v, done by %s\n", move.GetId(), move.GetPool(),
		move.GetFromVersion(), move.GetToVersion(), move.GetRoutes(), formatTime(move.GetFinishByUnixMs()))
	var rows [][]string
	for i, step := range move.GetSteps() {
		planned := time.Duration(step.GetPlannedMs()) * time.Millisecond
		rows = append(rows, []string{fmt.Sprint(i), shortEnumName(step.GetKind(), "STEP_KIND_"), fmt.Sprint(step.GetShareBp()),
			planned.String(), fmt.Sprint(len(step.GetBackendServers()))})
	}
	return t.table([]string{"STEP", "KIND", "SHARE_BP", "PLANNED", "BACKEND_SERVERS"}, rows)
}

func (t *tool) confirmCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "confirm",
		ShortUsage: "lagoonctl move confirm PLAN",
		ShortHelp:  "confirm a plan that move plan wrote to a file",
		FlagSet:    t.flagSet("confirm", stderr),
		Exec: func(ctx context.Context, args []string) error {
			file, err := oneArg(args, "file with a plan")
			if err != nil {
				return err
			}
			data, err := os.ReadFile(file)
			if err != nil {
				return &FileError{File: file, Cause: err}
			}
			return t.confirm(ctx, data)
		},
	}
}

func (t *tool) confirm(ctx context.Context, plan []byte) error {
	entry, err := t.client.change(ctx, request{method: http.MethodPost, path: "moves", body: plan})
	if err != nil {
		return err
	}
	return t.printEntry(entry)
}

func (t *tool) reverseCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "reverse",
		ShortUsage: "lagoonctl move reverse ID",
		ShortHelp:  "take a move back",
		FlagSet:    t.flagSet("reverse", stderr),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "id of a move")
			if err != nil {
				return err
			}
			path := "moves/" + url.PathEscape(id) + "/reverse"
			entry, err := t.client.change(ctx, request{method: http.MethodPost, path: path})
			if err != nil {
				return err
			}
			return t.printEntry(entry)
		},
	}
}

func (t *tool) watchCommand(stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "lagoonctl move watch ID",
		ShortHelp:  "print each change of a move until it is done (exit 0) or reversed (exit 1)",
		FlagSet:    t.flagSet("watch", stderr),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "id of a move")
			if err != nil {
				return err
			}
			return t.watch(ctx, id)
		},
	}
}

func (t *tool) watch(ctx context.Context, id string) error {
	var revision uint64
	for {
		item := operatorapi.Item{}
		path := fmt.Sprintf("moves/%s/watch?revision=%d&wait=%s", url.PathEscape(id), revision, watchWait)
		if err := t.client.get(ctx, path, &item); err != nil {
			return err
		}
		move := newMove()
		if err := decodeMessage(item.Value, move); err != nil {
			return err
		}
		if item.Revision != revision {
			revision = item.Revision
			if err := t.printMove(item, move); err != nil {
				return err
			}
		}
		if config.MoveActive(move) {
			continue
		}
		if move.GetState() == configpb.MoveState_MOVE_STATE_REVERSED {
			return &MoveReversedError{ID: id, Reason: move.GetReason()}
		}
		return nil
	}
}

func (t *tool) printMove(item operatorapi.Item, move *configpb.Move) error {
	if t.output == "json" {
		return t.json(item)
	}
	_, err := fmt.Fprintf(t.stdout, "%s  %s  step %d/%d  share %d  %s\n", formatTime(move.GetChangedUnixMs()),
		shortEnumName(move.GetState(), "MOVE_STATE_"), move.GetStep(), len(move.GetSteps()), move.GetShareBp(), move.GetReason())
	return errors.Wrap(err, "output")
}
