package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

const (
	// lostAnswers is how many of the 18 or more write calls of 9 restarts get no answer and
	// are executed lateBy later.
	lostAnswers = 5
	lateBy      = 5 * time.Second
	// membersSettle is longer than the VMs take to read a change of the members.
	membersSettle = 12 * time.Second
	// leafLimit is what each leaf takes, in requests a second.
	leafLimit = 20
	// limitWindow, limitFactor and limitSlack are the figures of the rule.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// passOnDelay is how long before an arrival a VM must have passed on the limit.
	passOnDelay = 500 * time.Millisecond
)

// memberLost restarts all VMs in turn; then the leaves state a limit. The trouble is that
// the store loses the answers of some calls and executes these late.
func memberLost(r *rig) (string, error) {
	r.store.inner.Put("config", "main", rosterConfig())
	leaves := []*standin.Leaf{
		r.addLeaf("i-roster-1", rosterName, zones[0], standin.Behaviour{Body: []byte("bench 4"), Delay: 5 * time.Millisecond}),
		r.addLeaf("i-roster-2", rosterName, zones[1], standin.Behaviour{Body: []byte("bench 4"), Delay: 5 * time.Millisecond}),
	}
	if err := r.addVMs(nineVMs); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	if r.trouble {
		r.store.loseAnswers(lostAnswers, lateBy)
	}
	for _, v := range r.vms {
		if err := v.restart(); err != nil {
			return "", err
		}
	}
	time.Sleep(membersSettle)
	writes, late := r.store.writeCounts()
	r.log("%d write calls, %d of them executed late", writes, late)
	for _, v := range r.vms {
		r.log("%s registered in the store: %t", v.name, r.store.inner.Has("medlar-members", v.name))
	}
	for _, leaf := range leaves {
		leaf.SetStatement(http.Header{"Server-Limit": {strconv.Itoa(leafLimit)}})
	}
	passed := r.loadAll(20, 14*time.Second)
	return judgeLimit(r, leaves, passed), nil
}

// passedOn records when each VM first passed on an answer in which a leaf states a limit.
type passedOn struct {
	callers *caller
	mu      sync.Mutex
	first   map[string]time.Time
}

func passedKey(v *vm, leaf string) string { return v.name + " " + leaf }

// observe records an answer. Its receipt begins with the ID of the leaf.
func (p *passedOn) observe(a answer) {
	if a.err != nil || a.header.Get("Server-Limit") == "" {
		return
	}
	leaf, _, _ := strings.Cut(a.header.Get("X-Response-Stamp"), ".")
	key := passedKey(p.callers.vmOf(a.id), leaf)
	p.mu.Lock()
	defer p.mu.Unlock()
	if first, ok := p.first[key]; !ok || a.at.Before(first) {
		p.first[key] = a.at
	}
}

// loadAll sends requests to all VMs for some time.
func (r *rig) loadAll(perSecond float64, d time.Duration) *passedOn {
	callers := newCaller(r)
	p := &passedOn{callers: callers, first: make(map[string]time.Time)}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var load sync.WaitGroup
	for _, v := range r.vms {
		load.Go(func() { callers.load(ctx, v, rosterPrefix+"week", perSecond, p.observe) })
	}
	load.Wait()
	return p
}

// judgeLimit checks the arrivals at each leaf in all windows that begin stableWindow or more
// after the leaf first stated its limit.
func judgeLimit(r *rig, leaves []*standin.Leaf, p *passedOn) string {
	allowed := limitFactor*leafLimit*limitWindow.Seconds() + limitSlack
	var broken []string
	for _, leaf := range leaves {
		runs := leaf.Runs()
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		if len(runs) == 0 {
			continue
		}
		var arrivals []time.Time
		for _, run := range runs {
			v := p.callers.vmOf(run.RequestID)
			r.note(run.At, "leaf %s runs %s from %s", leaf.ID, run.RequestID, v.name)
			first, ok := p.first[passedKey(v, leaf.ID)]
			if ok && run.At.After(runs[0].At.Add(stableWindow)) && run.At.After(first.Add(passOnDelay)) {
				arrivals = append(arrivals, run.At)
			}
		}
		most := mostWithin(arrivals, limitWindow)
		r.log("leaf %s: at most %d arrivals in %s, %.0f are allowed", leaf.ID, most, limitWindow, allowed)
		if float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("leaf %s got %d requests in %s, %.0f are allowed", leaf.ID, most, limitWindow, allowed))
		}
	}
	return strings.Join(broken, "; ")
}

// mostWithin returns the greatest number of sorted times within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
