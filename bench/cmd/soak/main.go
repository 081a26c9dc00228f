// Command soak runs seeds of the fault-injection soak test and prints violations. It exits with
// status 1 if a seed failed, and keeps the logs of failed seeds.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/soak"
)

func main() {
	seeds := flag.Int("seeds", 4, "number of seeds")
	from := flag.Uint64("from", uint64(time.Now().Unix()), "first seed; the time by default, so that seeds are fresh")
	parallel := flag.Int("parallel", 3, "seeds at the same time")
	program := flag.String("program", "bin/lagoonlane", "lagoonlane program")
	dir := flag.String("dir", filepath.Join(os.TempDir(), "lagoonlane-soak"), "directory for settings and logs")
	faults := flag.Int("faults", 8, "faults of one seed")
	length := flag.Duration("length", 6*time.Second, "time in which faults begin")
	entries := flag.Int("entries", 0, "entries; 0: the usual number")
	first := flag.Int("network", 0, "first loopback network: two soaks at the same time need their own, from 0 to 99")
	engines := flag.Int("engines", 0, "engines with sidecars; 0: the usual number")
	kinds := flag.String("kinds", "", "kinds of faults to draw from, separated by commas; empty: all")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	var mu sync.Mutex
	var all sync.WaitGroup
	failed := 0
	next := make(chan uint64)
	for network := range *parallel {
		all.Go(func() {
			for seed := range next {
				options := soak.Options{
					Seed: seed, Program: *program, Dir: filepath.Join(*dir, fmt.Sprint(seed)), Network: *first + network,
					Faults: *faults, FaultPeriod: *length, Entries: *entries, Engines: *engines,
				}
				if *kinds != "" {
					options.Kinds = strings.Split(*kinds, ",")
				}
				result, err := soak.Run(ctx, options)
				mu.Lock()
				if err != nil || result.Failed() {
					failed++
					fmt.Printf("%v; %v; logs in %s\n", result, err, options.Dir)
				} else {
					fmt.Println(result)
					_ = os.RemoveAll(options.Dir)
				}
				mu.Unlock()
			}
		})
	}
	for i := range uint64(*seeds) {
		if ctx.Err() == nil {
			next <- *from + i
		}
	}
	close(next)
	all.Wait()
	fmt.Printf("%d of %d seeds failed\n", failed, *seeds)
	if failed > 0 {
		os.Exit(1)
	}
}
