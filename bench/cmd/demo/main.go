// Command demo starts the small Budapest and Ulaanbaatar deployments on loopback, applies a
// configuration, sends requests through all entries, moves the traffic of one deployment between
// versions, and prints a summary. With --up it keeps the deployments running until it is
// interrupted.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"

	"golang.org/x/sync/errgroup"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// demoTimeout bounds the duration of the demo.
const demoTimeout = 58 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) (err error) {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	binDir := flags.String("bin", "bin", "directory of the binaries lagoonlane, lagoonctl and standin")
	up := flags.Bool("up", false, "leave the deployments running and print how to try them")
	keep := flags.Bool("keep", false, "keep the directory with settings and logs")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("DEMO")); err != nil {
		return err
	}
	bin, err := filepath.Abs(*binDir)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "lagoonlane-demo-")
	if err != nil {
		return err
	}
	if *keep {
		fmt.Fprintln(out, "settings and logs are kept in", dir)
	} else {
		defer func() { err = firstError(err, os.RemoveAll(dir)) }()
	}
	if !*up {
		bounded, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		return runDemo(bounded, bin, dir, out)
	}
	return runUntilInterrupted(ctx, bin, dir, out)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// startBoth starts and configures both deployments concurrently.
func startBoth(ctx context.Context, bin, dir string) ([]*deploy.Deployment, error) {
	specs := []func(bin, dir string) deploy.Spec{deploy.Budapest, deploy.Ulaanbaatar}
	deployments := make([]*deploy.Deployment, len(specs))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, makeSpec := range specs {
		group.Go(func() error {
			var err error
			deployments[i], err = startOne(groupCtx, bin, dir, makeSpec)
			return err
		})
	}
	err := group.Wait()
	return deployments, err
}

func startOne(ctx context.Context, bin, dir string, makeSpec func(bin, dir string) deploy.Spec) (*deploy.Deployment, error) {
	spec := makeSpec(bin, dir)
	spec.Dir = filepath.Join(dir, spec.Name)
	if err := os.Mkdir(spec.Dir, 0o700); err != nil {
		return nil, err
	}
	d, err := deploy.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	if _, err := d.Configure(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func closeAll(deployments []*deploy.Deployment) {
	for _, d := range deployments {
		if d != nil {
			d.Close()
		}
	}
}

// runUntilInterrupted runs the deployments until ctx is done.
func runUntilInterrupted(ctx context.Context, bin, dir string, out io.Writer) error {
	deployments, err := startBoth(ctx, bin, dir)
	defer closeAll(deployments)
	if err != nil {
		return err
	}
	for _, d := range deployments {
		printHowTo(out, bin, d)
	}
	fmt.Fprintln(out, "Interrupt (Ctrl-C) stops both deployments.")
	<-ctx.Done()
	return nil
}
