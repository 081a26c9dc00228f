package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/platform/standin"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Program is the path of the lagoonlane program.
	Program string
	// Dir holds the settings and logs of the processes.
	Dir string
	// Network tells the loopback addresses of runs at the same time apart: 0 to 99.
	Network int
	// Entries, Engines and Plain are the sizes; 0 takes the usual ones.
	Entries, Engines, Plain int
	// Faults is the number of faults, Length the time in which they begin.
	Faults int
	Length time.Duration
	// Kinds names the kinds of faults to draw from; none: all. The draws of a seed change
	// with the kinds there are.
	Kinds []string
}

const (
	// startWithin bounds the start of all processes.
	startWithin = 30 * time.Second
	// warmUp is the time with requests before the first fault.
	warmUp = time.Second
	// calm is the time in which requests must be served as usual after the faults.
	calm = 3 * time.Second
	// closedWorld is the time that answers and logs take to end.
	closedWorld = 500 * time.Millisecond
)

// Result is what one run showed.
type Result struct {
	Seed uint64
	// Asked and Served count the requests.
	Asked, Served int
	Faults        []string
	// Violations are the promises that did not hold, Problems what went wrong beside.
	Violations, Problems []string
}

// Failed reports whether anything is to be explained.
func (r Result) Failed() bool { return len(r.Violations)+len(r.Problems) > 0 }

func (r Result) String() string {
	text := fmt.Sprintf("seed %d: %d of %d requests served, %d faults, %d violations, %d problems", r.Seed, r.Served, r.Asked, len(r.Faults), len(r.Violations), len(r.Problems))
	if !r.Failed() {
		return text
	}
	return text + "\n  " + strings.Join(append(append(append([]string{}, r.Violations...), r.Problems...), r.Faults...), "\n  ")
}

func (o Options) withDefaults() Options {
	set := func(n *int, usual int) {
		if *n <= 0 {
			*n = usual
		}
	}
	set(&o.Entries, usualEntries)
	set(&o.Engines, usualEngines)
	set(&o.Plain, usualPlain)
	return o
}

// Run plays one seed. It fails only if the deployment can't be started.
func Run(ctx context.Context, o Options) (Result, error) {
	o = o.withDefaults()
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Result{}, errors.WithStack(err)
	}
	starting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	w, err := newWorld(starting, o)
	if err != nil {
		if closing := w.close(); closing != nil {
			err = errors.WithMessage(err, closing.Error())
		}
		return Result{}, err
	}
	return w.play(ctx)
}

// play runs callers and faults and checks what came of them.
func (w *world) play(ctx context.Context) (Result, error) {
	s := &series{w: w, random: rand.New(rand.NewPCG(w.options.Seed, 1)), began: time.Now()}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	c := newCrowd(w)
	var all sync.WaitGroup
	all.Go(func() { c.run(callersCtx) })
	all.Go(func() {
		for callersCtx.Err() == nil {
			w.renew()
			sleep(callersCtx, renewEvery)
		}
	})
	sleep(ctx, warmUp)
	s.run(ctx, w.options.Faults, w.options.Length)
	sleep(ctx, settle)
	calmFrom := time.Now()
	sleep(ctx, calm)
	stopCallers()
	all.Wait()
	sleep(ctx, closedWorld)
	s.checkAlive()
	memory := w.checkMemory()
	closing := w.close()
	v := &verdict{w: w, calls: c.calls, faults: s.faults}
	v.check(calmFrom)
	result := Result{Seed: w.options.Seed, Asked: len(c.calls), Violations: append(v.violations, memory...), Problems: s.problems}
	for _, one := range c.calls {
		if one.Status == 200 && one.Whole {
			result.Served++
		}
	}
	for _, f := range s.faults {
		result.Faults = append(result.Faults, f.String())
	}
	return result, closing
}

// drain is the beginning of a server's draining.
type drain struct {
	server *standin.Server
	at     time.Time
}

func (w *world) noteDrain(server *standin.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains = append(w.drains, drain{server: server, at: time.Now()})
}
