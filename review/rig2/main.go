// Command rig2 runs one case of the second review: medlar-node processes of a small
// deployment on loopback addresses, with stand-ins of the callers, the leaves and the
// platform's store in this process.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. A case returns what breaks the rule, or "" if it held.
var cases = map[string]func(r *rig) (broken string, err error){
	"endless-heads":     endlessHeads,
	"large-release":     largeRelease,
	"request-target":    requestTarget,
	"seeds-removed":     seedsRemoved,
	"numbered-attempts": numberedAttempts,
	"member-lost":       memberLost,
	"rest-forgotten":    restForgotten,
	"cold-on-restart":   coldOnRestart,
}

func main() {
	name := flag.String("case", "", "the case to run")
	node := flag.String("node", "target/medlar-node", "the program of the deploy file")
	dir := flag.String("dir", "", "a folder for settings and logs, kept after the run; a temporary one if empty")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.Parse()
	os.Exit(run(*name, *node, *dir, *record, *trouble))
}

func run(name, node, dir, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "-case must be one of %s\n", strings.Join(names, ", "))
		return exitFailed
	}
	r, err := newRig(node, dir, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	r.endOnSignal()
	broken, err := play(r)
	switch {
	case err != nil:
		r.log("the case could not run: %v", err)
		return exitFailed
	case broken != "":
		r.log("rule broken: %s", broken)
		return exitBroken
	}
	r.log("rule held")
	return exitHeld
}
