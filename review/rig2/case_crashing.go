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
	// crashingPath is the path of the request that crashes leaves.
	crashingPath = rosterPrefix + "poison"
	// leafDownFor is how long a leaf that crashed is away.
	leafDownFor = 1500 * time.Millisecond
	// crashingRetries is how often the crashing request comes, retryInterval apart.
	crashingRetries = 18
	retryInterval   = 1500 * time.Millisecond
	// allowedRetries is how many retries may reach leaves once the request has crashed three
	// and stableWindow has passed.
	allowedRetries = 3
)

// seedsRemoved sends a request that crashes leaves again and again, to six VMs in turn. The
// trouble is that the three VMs which the settings name as seeds were removed before.
func seedsRemoved(r *rig) (string, error) {
	leaves, err := startCrashable(r)
	if err != nil {
		return "", err
	}
	if r.trouble {
		for _, v := range r.vms[:len(zones)] {
			r.log("%s is removed for good", v.name)
			v.kill()
		}
	}
	repeatCrashing(r, func(int) http.Header { return nil })
	return judgeCrashes(r, leaves), nil
}

// numberedAttempts sends a request that crashes leaves again and again, to six VMs in turn.
// The trouble is that its caller numbers its attempts in a header.
func numberedAttempts(r *rig) (string, error) {
	leaves, err := startCrashable(r)
	if err != nil {
		return "", err
	}
	repeatCrashing(r, func(attempt int) http.Header {
		if !r.trouble {
			attempt = 0
		}
		return http.Header{"X-Retry-Attempt": {strconv.Itoa(attempt)}}
	})
	return judgeCrashes(r, leaves), nil
}

// startCrashable starts 9 VMs and 11 leaves that the request of crashingPath ends.
func startCrashable(r *rig) ([]*standin.Leaf, error) {
	r.store.inner.Put("config", "main", rosterConfig())
	var leaves []*standin.Leaf
	for i := range 11 {
		leaf := r.addLeaf(fmt.Sprintf("i-roster-%d", i), rosterName, zones[i%len(zones)], standin.Behaviour{Body: []byte("bench 4"), Delay: 20 * time.Millisecond})
		leaf.SetCrash(&standin.Crash{
			Matches:   func(req *http.Request) bool { return strings.HasPrefix(req.URL.Path, crashingPath) },
			DownFor:   leafDownFor,
			OnRestart: func(entry map[string]any) { r.store.inner.Put("servers", leaf.ID, entry) },
		})
		leaves = append(leaves, leaf)
	}
	if err := r.addVMs(nineVMs); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	return leaves, nil
}

// repeatCrashing sends the crashing request, besides other requests, to the VMs that are no
// seeds.
func repeatCrashing(r *rig, header func(attempt int) http.Header) {
	vms := r.vms[len(zones):]
	callers := newCaller(r)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, v := range vms {
		load.Go(func() { callers.load(ctx, v, rosterPrefix+"week", 5, nil) })
	}
	defer load.Wait()
	defer cancel()
	time.Sleep(2 * stableWindow)
	for i := range crashingRetries {
		v := vms[i%len(vms)]
		a := callers.get(v, crashingPath, header(i))
		r.log("crashing request %s at %s: status %d, err %v", a.id, v.name, a.status, a.err)
		time.Sleep(retryInterval)
	}
}

// judgeCrashes counts the retries that reached leaves later than stableWindow after the
// request had crashed the third one.
func judgeCrashes(r *rig, leaves []*standin.Leaf) string {
	var crashes []time.Time
	var runs []standin.Run
	for _, leaf := range leaves {
		crashes = append(crashes, leaf.Crashes()...)
		for _, run := range leaf.Runs() {
			if run.Target == crashingPath {
				r.note(run.At, "leaf %s crashes on %s", leaf.ID, run.RequestID)
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	r.log("the request has crashed %d leaves", len(crashes))
	if len(crashes) < 3 {
		return ""
	}
	late := make(map[string]bool)
	for _, run := range runs {
		if run.At.After(crashes[2].Add(stableWindow)) {
			late[run.RequestID] = true
		}
	}
	r.log("%d retries reached leaves later than %s after the third crash", len(late), stableWindow)
	if len(late) <= allowedRetries {
		return ""
	}
	return fmt.Sprintf("%d retries, %d are allowed", len(late), allowedRetries)
}
