// Command standin-2 plays the cases of the second review: it starts the built program as
// processes before stand-ins of the platform, and judges what clients and engines see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit bounds a case. The processes that it has started end with this one.
const limit = 118 * time.Second

// cases are the cases by name.
var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"ballots": ballots,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		r.say("the case couldn't run: it takes too long")
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		os.Exit(2)
	case broken:
		r.say("the rule was broken")
		os.Exit(1)
	}
	r.say("the rule held")
}
