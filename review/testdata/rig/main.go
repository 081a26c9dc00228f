// Command rig plays one case of the review against the programs in target/, on loopback addresses. It exits with 1 if the
// rule was broken, with 0 if it held and with 2 if the case could not be played.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// playLimit is the longest time of a play. The processes that it started end with this one.
const playLimit = 115 * time.Second

// play is a case. It returns what broke the rule, or "".
type play func(ctx context.Context, b *bed, trouble bool) (broken string, err error)

var plays = map[string]play{"budget": playBudget, "poison": playPoison, "upload": playUpload, "broken": playBroken, "back": playBack}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed()
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer b.close(os.Getenv("KEEP") == "1")
	time.AfterFunc(playLimit, func() {
		fmt.Println("could not run: the play does not end")
		os.Exit(2)
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.renew(ctx)
	broken, err := p(ctx, b, trouble)
	switch {
	case err != nil:
		b.record.add("result: could not run: %v", err)
	case broken != "":
		b.record.add("result: broken: %s", broken)
	default:
		b.record.add("result: held")
	}
	fmt.Println(b.record.lines[len(b.record.lines)-1])
	if writeErr := b.record.write(filepath.Join(folder, "record.txt")); writeErr != nil {
		fmt.Println("could not write the record:", writeErr)
		return 2
	}
	switch {
	case err != nil:
		return 2
	case broken != "":
		return 1
	}
	return 0
}
