//go:build review

// Command standins2 runs the scripted cases of the second review: it starts the stand-ins
// of the store, the targets and the clients, and the daemons as separate processes.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the scripted cases by name; each file of a case adds its own.
var cases = map[string]func(w *world, trouble bool) (broken bool){}

func main() {
	if len(os.Args) != 3 {
		cantRun(fmt.Errorf("usage: standins2 CASE RECORD"))
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		cantRun(fmt.Errorf("no case %q", os.Args[1]))
	}
	w := newWorld(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, disruption: %v", os.Args[1], trouble)
	broken := run(w, trouble)
	if broken {
		w.logf("the rule was broken")
	} else {
		w.logf("the rule held")
	}
	w.stop()
	if broken {
		os.Exit(1)
	}
}
