// Command site plays one case of the review: it starts the project's programs as processes on
// loopback, with stand-ins for the platform, the backend servers and the callers. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// scenarios return whether the rule was broken.
var scenarios = map[string]func(s *site, trouble bool) (broken bool, err error){
	"odd-entry": oddEntry,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: site SCENARIO RECORD")
		return 2
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	broken, err := scenarios[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	}
	return 0
}
