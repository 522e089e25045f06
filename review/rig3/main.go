// Command rig3 plays the cases of the third review that are scripts. It starts the project's
// program as separate processes on loopback addresses and checks one rule by what clients and
// servers see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit is how long a case may take.
const limit = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, and what was seen.
var cases = map[string]func(g *rig) (bool, string, error){
	"killed":      killed,
	"gives-up":    givesUp,
	"old-beat":    oldCheckIn,
	"cold-again":  coldAgain,
	"odd-message": oddMessage,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE REPOSITORY FOLDER")
		return failed
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return failed
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	g, err := newRig(os.Args[2], dir, filepath.Join(os.Args[3], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer g.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		g.record("could not run: ended early")
		g.close()
		_ = os.RemoveAll(dir)
		os.Exit(failed)
	}()
	isBroken, seen, err := run(g)
	switch {
	case err != nil:
		g.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return failed
	case isBroken:
		g.record("BROKEN: %s", seen)
		fmt.Println("BROKEN:", seen)
		return broken
	}
	g.record("held: %s", seen)
	fmt.Println("held:", seen)
	return held
}
