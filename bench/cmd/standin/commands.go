package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
	"github.com/lagoonlane/lagoonlane/bench/standin/instancelist"
	"github.com/lagoonlane/lagoonlane/bench/standin/logserver"
	"github.com/lagoonlane/lagoonlane/bench/standin/service"
	"github.com/lagoonlane/lagoonlane/bench/standin/weightstore"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

const (
	defaultListen = "127.0.0.1:0"
	gibibyte      = 1 << 30
)

func logCommand() *ffcli.Command {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	listen := flags.String("listen", defaultListen, "ip:port")
	retention := flags.Int("retention", 100_000, "records kept of each stream")
	rate := flags.Float64("appends-per-second", 500, "limit over all streams; 0 is unlimited")
	return subcommand("log", "append-only log", flags, func(ctx context.Context) error {
		log := logserver.New(logserver.Options{Retention: *retention, AppendsPerSecond: *rate})
		return serve(ctx, *listen, log, nil)
	})
}

func instancesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("instances", flag.ContinueOnError)
	listen := flags.String("listen", defaultListen, "ip:port")
	file := flags.String("file", "", "JSON file with the list at the start")
	lag := flags.Duration("lag", time.Second, "how long a change takes to show")
	return subcommand("instances", "instance list", flags, func(ctx context.Context) error {
		var instances []platform.Instance
		if err := readFile(*file, &instances); err != nil {
			return err
		}
		return serve(ctx, *listen, instancelist.New(*lag, instances), nil)
	})
}

func weightsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("weights", flag.ContinueOnError)
	listen := flags.String("listen", defaultListen, "ip:port")
	file := flags.String("file", "", "JSON file with the artifacts at the start")
	rate := flags.Uint64("bytes-per-second", gibibyte, "rate over all readers")
	return subcommand("weights", "weight store", flags, func(ctx context.Context) error {
		options := weightstore.Options{BytesPerSecond: *rate}
		if err := readFile(*file, &options.Artifacts); err != nil {
			return err
		}
		return serve(ctx, *listen, weightstore.New(options), nil)
	})
}

func engineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	var options engine.Options
	listen := flags.String("listen", defaultListen, "ip:port")
	versions := flags.String("versions", "v1", "versions loaded from the start, by comma")
	flags.StringVar(&options.ID, "id", "engine", "name of the engine")
	flags.Float64Var(&options.Speed, "speed", 1, "speed factor of the hardware")
	flags.IntVar(&options.MaxVersions, "max-versions", 0, "versions that fit in memory; 0 is the default")
	flags.IntVar(&options.MaxBatch, "max-batch", 0, "sequences that run at once; 0 is the default")
	flags.IntVar(&options.CacheBlocks, "cache-blocks", 0, "blocks of the prefix cache; 0 is the default")
	flags.DurationVar(&options.ReportLag, "report-lag", 2*time.Second, "age of the load report")
	flags.BoolVar(&options.CheckFencing, "check-fencing", false, "refuse orders with an older fencing number")
	flags.StringVar(&options.WeightStoreURL, "weights", "", "URL of the weight store")
	flags.IntVar(&options.TokensPerEvent, "tokens-per-event", 1, "tokens in one SSE event")
	return subcommand("engine", "model engine", flags, func(ctx context.Context) error {
		options.Versions = strings.Split(*versions, ",")
		e := engine.New(options)
		return serve(ctx, *listen, e, e.Run)
	})
}

func serviceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("service", flag.ContinueOnError)
	var options service.Options
	listen := flags.String("listen", defaultListen, "ip:port")
	flags.StringVar(&options.Name, "name", "ledger", "name of the service")
	flags.StringVar(&options.Version, "version", "v1", "version that it runs")
	flags.DurationVar(&options.Latency, "latency", 2*time.Millisecond, "time of an operation")
	flags.IntVar(&options.MaxConcurrent, "max-concurrent", 0, "operations that run at once; 0 is unlimited")
	return subcommand("service", "plain service", flags, func(ctx context.Context) error {
		return serve(ctx, *listen, service.New(options), nil)
	})
}

func readFile(path string, into any) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(json.Unmarshal(data, into), path)
}
