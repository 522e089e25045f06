package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

const (
	// releaseLeaves is how many leaves there are, releasedAtOnce how many of them leave
	// without a word at the same time.
	releaseLeaves  = 8
	releasedAtOnce = 3
	// drainTime is drain_ms of the users' small sites.
	drainTime = 3 * time.Second
	// freezeTime is how long a VM stands still.
	freezeTime = 4 * time.Second
	// releaseDelay is from the begin of the freeze to the removal of the entries.
	releaseDelay = 20 * time.Millisecond
	// releases is how often leaves are replaced.
	releases = 5
)

// removal is a leaf whose entry was removed.
type removal struct {
	leaf *standin.Leaf
	at   time.Time
	// frozen is the VM that stands still, until the given time; nil without trouble.
	frozen *vm
	until  time.Time
}

// largeRelease replaces three of eight leaves at a time. The trouble is that a seed, another
// one each time, stands still when their entries are removed.
func largeRelease(r *rig) (string, error) {
	r.store.inner.Put("config", "main", rosterConfig())
	var inUse []*standin.Leaf
	started := 0
	add := func(n int) {
		for range n {
			started++
			inUse = append(inUse, r.addLeaf(fmt.Sprintf("i-roster-%d", started), rosterName, zones[started%len(zones)], standin.Behaviour{Body: []byte("bench 4"), Delay: 5 * time.Millisecond}))
		}
	}
	add(releaseLeaves)
	if err := r.addVMs(nineVMs); err != nil {
		return "", err
	}
	callers := newCaller(r)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, v := range r.vms {
		load.Go(func() { callers.load(ctx, v, rosterPrefix+"week", 20, nil) })
	}
	time.Sleep(2 * stableWindow)
	var removals []removal
	for i := range releases {
		seed := r.vms[i%maxSeeds]
		next := removal{}
		if r.trouble {
			r.log("%s stands still", seed.name)
			seed.signal(syscall.SIGSTOP)
			next.frozen, next.until = seed, time.Now().Add(freezeTime)
		}
		time.Sleep(releaseDelay)
		for _, leaf := range inUse[:releasedAtOnce] {
			r.store.inner.Delete("servers", leaf.ID)
			next.leaf, next.at = leaf, time.Now()
			r.log("the entry of leaf %s is removed", leaf.ID)
			removals = append(removals, next)
		}
		inUse = inUse[releasedAtOnce:]
		time.Sleep(freezeTime - releaseDelay)
		if r.trouble {
			seed.signal(syscall.SIGCONT)
			r.log("%s goes on", seed.name)
		}
		add(releasedAtOnce)
		time.Sleep(2 * stableWindow)
	}
	cancel()
	load.Wait()
	return judgeRemovals(r, callers, removals), nil
}

// judgeRemovals counts the requests that reached leaves later than drainTime after the store
// had removed their entries, from VMs that were in touch.
func judgeRemovals(r *rig, callers *caller, removals []removal) string {
	var broken []string
	for _, gone := range removals {
		late, latest := 0, time.Duration(0)
		runs := gone.leaf.Runs()
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		for _, run := range runs {
			v := callers.vmOf(run.RequestID)
			after := run.At.Sub(gone.at)
			if after <= 0 {
				continue
			}
			r.note(run.At, "leaf %s, gone for %s, runs %s from %s", gone.leaf.ID, after.Round(time.Millisecond), run.RequestID, v.name)
			// A VM is out of touch while it stands still and for stableWindow after that.
			if after <= drainTime || v == gone.frozen && run.At.Before(gone.until.Add(stableWindow)) {
				continue
			}
			late, latest = late+1, after
		}
		r.log("leaf %s: %d requests later than %s after its entry was removed, the last after %s", gone.leaf.ID, late, drainTime, latest.Round(time.Millisecond))
		if late > 0 {
			broken = append(broken, fmt.Sprintf("leaf %s got %d requests up to %s after the store had removed its entry", gone.leaf.ID, late, latest.Round(time.Millisecond)))
		}
	}
	return strings.Join(broken, "; ")
}
