// Command standin runs a stand-in for one service of the platform or for a backend server. It
// prints its address on standard output and serves until it is interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

const shutdownTimeout = 2 * time.Second

// backgroundFunc is background work that runs until ctx is done. It may be nil.
type backgroundFunc func(ctx context.Context)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		ShortUsage: "standin <log|instances|weights|engine|service> [flags]",
		FlagSet:    flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			logCommand(), instancesCommand(), weightsCommand(), engineCommand(), serviceCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// subcommand returns a command whose flags can also be set by STANDIN_ environment variables.
func subcommand(name, help string, flags *flag.FlagSet, exec func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "standin " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("STANDIN")},
		Exec:    func(ctx context.Context, _ []string) error { return exec(ctx) },
	}
}

// serve prints the address of the listener and serves until ctx is done.
func serve(ctx context.Context, listen string, handler http.Handler, run backgroundFunc) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	running := make(chan struct{})
	go func() {
		defer close(running)
		if run != nil {
			run(ctx)
		}
	}()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	fmt.Println("http://" + listener.Addr().String())
	select {
	case err = <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(stopCtx) != nil {
		err = server.Close()
	}
	<-served
	<-running
	return errors.Wrap(err, "close")
}
