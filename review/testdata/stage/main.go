// Command stage runs one case of the second review: it starts the project's programs as separate processes beside
// stand-ins of the platform, its clients and its engines, disturbs them as the case says, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	argumentsMin = 3
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(b *bed) (broken bool, err error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) < argumentsMin || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return exitNotRun
	}
	b, err := newBed(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitNotRun
	}
	defer b.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(caseTimeout):
			b.note("the case took too long")
		}
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitNotRun
	case broken:
		b.note("result: the rule was broken")
		return exitBroken
	}
	b.note("result: the rule held")
	return exitHeld
}
