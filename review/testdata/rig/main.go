// Command rig plays one case of the review against the programs in target/, on loopback addresses, and writes what was
// sent, answered and run to a file. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could
// not be played.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// playLimit is the longest time of a play. The processes that it started end with this one.
const playLimit = 115 * time.Second

// play is a case. It returns what broke the rule, or "".
type play func(ctx context.Context, b *bed, trouble bool) (broken string, err error)

var plays = map[string]play{"budget": playBudget, "poison": playPoison, "upload": playUpload, "broken": playBroken, "back": playBack}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FILE")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, file string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed()
	defer b.close(os.Getenv("KEEP") == "1")
	if err != nil {
		return b.finish(file, "", err)
	}
	time.AfterFunc(playLimit, func() { os.Exit(b.finish(file, "", errEndless)) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.renew(ctx)
	broken, err := p(ctx, b, trouble)
	return b.finish(file, broken, err)
}

var errEndless = errors.New("the play does not end")

// finish writes the record to a file, and returns the exit status.
func (b *bed) finish(file, broken string, err error) int {
	result, status := "result: held", 0
	switch {
	case err != nil:
		result, status = "result: could not run: "+err.Error(), 2
	case broken != "":
		result, status = "result: broken: "+broken, 1
	}
	b.record.add("%s", result)
	fmt.Println(result)
	if err := b.record.write(file); err != nil {
		fmt.Println("could not write the record:", err)
		return 2
	}
	return status
}
