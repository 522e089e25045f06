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
	// crashedFor is how long the leaves are away.
	crashedFor = 400 * time.Millisecond
	// entryDelay is from the start of a leaf to its entry in the store, less than a check-in
	// interval of 1.2 s.
	entryDelay = time.Second
	// restSeconds is the Retry-After of a leaf that has just started, shedFor how long it
	// refuses requests.
	restSeconds = 8
	shedFor     = 800 * time.Millisecond
	// restTolerance and restAllowed are the figures of the rule.
	restTolerance = 500 * time.Millisecond
	restAllowed   = 2
	// warmUpRate and warmUp are those of the service, coldFactor and coldSlack those of the
	// rule.
	warmUpRate = 20
	warmUp     = 3 * time.Second
	coldFactor = 1.5
	coldSlack  = 5
	// crashFactor times the bound is the rate at which a cold leaf crashes.
	crashFactor = 2
)

// shard is a service with two leaves, under load from 9 VMs.
type shard struct {
	rig     *rig
	leaves  []*standin.Leaf
	callers *caller
	stop    context.CancelFunc
	load    sync.WaitGroup

	mu sync.Mutex
	// startedAt is when each leaf started again.
	startedAt map[string][]time.Time
}

func newShard(r *rig, conf config, perSecond float64) (*shard, error) {
	r.store.inner.Put("config", "main", conf)
	s := &shard{rig: r, callers: newCaller(r), startedAt: make(map[string][]time.Time)}
	for i := range 2 {
		s.leaves = append(s.leaves, r.addLeaf(fmt.Sprintf("i-roster-%d", i), rosterName, zones[i], standin.Behaviour{Body: []byte("bench 4"), Delay: 5 * time.Millisecond}))
	}
	if err := r.addVMs(nineVMs); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for _, v := range r.vms {
		s.load.Go(func() { s.callers.load(ctx, v, rosterPrefix+"week", perSecond, nil) })
	}
	time.Sleep(2 * stableWindow)
	return s, nil
}

// restart ends both leaves. They start again under their IDs, and write their new entries
// entryDelay after that.
func (s *shard) restart(coldFor time.Duration) {
	for _, leaf := range s.leaves {
		var load overload
		crash := &standin.Crash{DownFor: crashedFor, Matches: func(*http.Request) bool { return load.add(time.Now()) }}
		crash.OnRestart = func(entry map[string]any) {
			started := time.Now()
			s.rig.note(started, "leaf %s has started again, born %v", leaf.ID, entry["born"])
			load.begin(started.Add(coldFor))
			s.mu.Lock()
			s.startedAt[leaf.ID] = append(s.startedAt[leaf.ID], started)
			s.mu.Unlock()
			time.Sleep(entryDelay)
			entry["warmup_left_ms"] = max(coldFor-entryDelay, 0).Milliseconds()
			s.rig.note(time.Now(), "leaf %s writes its entry", leaf.ID)
			s.rig.store.inner.Put("servers", leaf.ID, entry)
		}
		leaf.SetCrash(crash)
		s.rig.log("leaf %s crashes", leaf.ID)
		leaf.Crash(crash)
	}
}

// overload finds the load at which a cold leaf crashes.
type overload struct {
	mu    sync.Mutex
	until time.Time
	times []time.Time
}

// begin begins a time in which the leaf is cold.
func (o *overload) begin(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until, o.times = until, nil
}

// add counts a request, and reports whether the leaf crashes.
func (o *overload) add(at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !at.Before(o.until) {
		return false
	}
	o.times = append(o.times, at)
	return float64(mostWithin(o.times, time.Second)) > crashFactor*(coldFactor*warmUpRate+coldSlack)
}

func (s *shard) end() {
	s.stop()
	s.load.Wait()
}

// arrival is a request that reached a leaf.
type arrival struct {
	standin.Run
	refused bool
}

// arrivals returns the requests that reached a leaf, in order.
func (s *shard) arrivals(leaf *standin.Leaf) []arrival {
	var out []arrival
	for _, run := range leaf.Runs() {
		out = append(out, arrival{Run: run})
	}
	for _, run := range leaf.Refusals() {
		out = append(out, arrival{Run: run, refused: true})
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.At.Compare(b.At) })
	for _, a := range out {
		s.rig.note(a.At, "leaf %s gets %s from %s, refused %t", leaf.ID, a.RequestID, s.callers.vmOf(a.RequestID).name, a.refused)
	}
	return out
}

// restForgotten lets both leaves refuse requests and state a rest. The trouble is that they
// crash and start again before.
func restForgotten(r *rig) (string, error) {
	s, err := newShard(r, rosterConfig(), 10)
	if err != nil {
		return "", err
	}
	if r.trouble {
		s.restart(0)
	}
	for _, leaf := range s.leaves {
		leaf.SetStatement(http.Header{"Retry-After": {strconv.Itoa(restSeconds)}})
	}
	if r.trouble {
		time.Sleep(crashedFor)
	}
	time.Sleep(shedFor)
	for _, leaf := range s.leaves {
		leaf.SetStatement(nil)
	}
	r.log("the leaves serve again")
	time.Sleep((restSeconds + 2) * time.Second)
	s.end()
	var broken []string
	for _, leaf := range s.leaves {
		broken = append(broken, s.judgeRest(leaf)...)
	}
	return strings.Join(broken, "; "), nil
}

// judgeRest counts the requests of each VM that reached a leaf within a rest that it had
// stated to that VM.
func (s *shard) judgeRest(leaf *standin.Leaf) []string {
	type window struct{ from, to time.Time }
	rests := make(map[*vm][]window)
	within := make(map[*vm]int)
	for _, a := range s.arrivals(leaf) {
		v := s.callers.vmOf(a.RequestID)
		if slices.ContainsFunc(rests[v], func(w window) bool { return a.At.After(w.from) && a.At.Before(w.to) }) {
			within[v]++
		}
		if a.refused {
			rests[v] = append(rests[v], window{a.At.Add(restTolerance), a.At.Add(restSeconds * time.Second)})
		}
	}
	var broken []string
	for _, v := range s.rig.vms {
		s.rig.log("leaf %s: stated %d rests to %s, and got %d requests from it within them", leaf.ID, len(rests[v]), v.name, within[v])
		if within[v] > restAllowed {
			broken = append(broken, fmt.Sprintf("leaf %s got %d requests of %s within its rest, %d are allowed", leaf.ID, within[v], v.name, restAllowed))
		}
	}
	return broken
}

// coldOnRestart counts the requests to leaves that are cold. The trouble is that they start
// again under their IDs; without, they become cold by their entries only.
func coldOnRestart(r *rig) (string, error) {
	conf := rosterConfig()
	conf.Services[0].WarmupPerS = warmUpRate
	s, err := newShard(r, conf, 15)
	if err != nil {
		return "", err
	}
	if r.trouble {
		s.restart(warmUp)
	}
	time.Sleep(crashedFor + entryDelay + warmUp)
	s.end()
	allowed := coldFactor*warmUpRate + coldSlack
	var broken []string
	for _, leaf := range s.leaves {
		s.mu.Lock()
		starts := s.startedAt[leaf.ID]
		s.mu.Unlock()
		var cold []time.Time
		for _, a := range s.arrivals(leaf) {
			if slices.ContainsFunc(starts, func(start time.Time) bool { return a.At.After(start) && a.At.Before(start.Add(warmUp)) }) {
				cold = append(cold, a.At)
			}
		}
		s.rig.log("leaf %s crashed %d times", leaf.ID, len(leaf.Crashes()))
		most := mostWithin(cold, time.Second)
		r.log("leaf %s: at most %d arrivals in one second while cold, %.0f are allowed", leaf.ID, most, allowed)
		if float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("leaf %s got %d requests in one second while cold, %.0f are allowed", leaf.ID, most, allowed))
		}
	}
	return strings.Join(broken, "; "), nil
}
