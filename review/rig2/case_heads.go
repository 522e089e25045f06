package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the site. The platform ends a process that exceeds it.
	memoryLimit = 284 << 20
	// memoryCheck is the time between two checks of the memory of a process.
	memoryCheck = 20 * time.Millisecond
	// endsAllowed and machinesAllowed are the figures of the rule: fewer ends of a VM, and
	// fewer VMs, are no fault.
	endsAllowed     = 3
	machinesAllowed = 2
	// troubleTime is how long the leaves are in trouble.
	troubleTime = 20 * time.Second
	// leafStart is the start of the leaves, in Unix milliseconds.
	leafStart = 1700000000000
)

// kelaniVMs is the layout of the users' second site. The first kelaniRemaining VMs remain
// when the others have been removed.
var kelaniVMs = []string{"colombo", "negombo", "kalutara", "gampaha", "colombo", "negombo", "kalutara", "negombo"}

const (
	kelaniZones     = 4
	kelaniRemaining = 3
	// kelaniLoad is what the callers of the site send, in requests a second.
	kelaniLoad = 112.4
)

// kelaniMix is the share of each route.
var kelaniMix = map[string]float64{"/salinity/x": 0.6, "/drop/x": 0.2, rosterPrefix + "x": 0.2}

// endlessHeads removes five of eight VMs. The trouble is that the leaves of all shards then
// send heads without end. Processes whose memory exceeds the limit are ended.
func endlessHeads(r *rig) (string, error) {
	var inTrouble atomic.Bool
	if err := addKelaniLeaves(r, &inTrouble); err != nil {
		return "", err
	}
	if err := r.addVMs(kelaniVMs); err != nil {
		return "", err
	}
	time.Sleep(stableWindow)
	for _, v := range r.vms[kelaniRemaining:] {
		r.log("%s is removed", v.name)
		v.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	callers := newCaller(r)
	remaining := r.vms[:kelaniRemaining]
	for _, v := range remaining {
		for path, share := range kelaniMix {
			running.Go(func() { callers.load(ctx, v, path, share*kelaniLoad/kelaniRemaining, nil) })
		}
		running.Go(func() { v.superviseMemory(ctx) })
	}
	time.Sleep(2 * stableWindow)
	if r.trouble {
		r.log("the leaves of all shards send heads without end")
		inTrouble.Store(true)
	}
	time.Sleep(troubleTime)
	cancel()
	running.Wait()
	machines := 0
	for _, v := range remaining {
		r.log("%s: at most %d MB, ended %d times", v.name, v.peak>>20, v.ends)
		if v.ends >= endsAllowed {
			machines++
		}
	}
	if machines < machinesAllowed {
		return "", nil
	}
	return fmt.Sprintf("on %d of %d machines the process ended %d times or more because of its memory", machines, len(remaining), endsAllowed), nil
}

// addKelaniLeaves writes the configuration of the site and starts its leaves. Those of the
// shards send heads without end while inTrouble is true.
func addKelaniLeaves(r *rig, inTrouble *atomic.Bool) error {
	conf := rosterConfig()
	roster := &conf.Routes[0]
	roster.TimeoutMs, conf.Services[0].MaxConns = 6000, 36
	salinity := route{
		Name: "salinity", Host: host, PathPrefix: "/salinity/", Kind: "idempotent", TimeoutMs: 1500, TargetLatencyMs: 120,
		Attempts: 2, Priority: 1, TopK: 20, MinCoverage: 0.89,
	}
	drop := salinity
	drop.Name, drop.PathPrefix, drop.TimeoutMs, drop.TargetLatencyMs, drop.TopK, drop.MinCoverage = "drop", "/drop/", 800, 80, 5, 0.75
	for i := range 20 {
		name := fmt.Sprintf("shard-%d", i)
		salinity.Gather, drop.Gather = append(salinity.Gather, name), append(drop.Gather, name)
		conf.Services = append(conf.Services, service{Name: name, HealthPath: "/healthz", MaxConns: 26, WarmupS: 3})
		for _, zone := range kelaniVMs[:2] {
			leaf := &rawLeaf{id: "i-" + name + "-" + zone, work: 11 * time.Millisecond, body: strings.Repeat("0123456789abcdef", 25), inTrouble: inTrouble}
			if err := r.addRawLeaf(leaf, name, zone); err != nil {
				return err
			}
		}
	}
	for i := range 10 {
		leaf := &rawLeaf{id: fmt.Sprintf("i-portal-%d", i), work: 90 * time.Millisecond, body: strings.Repeat("x", 3000), inTrouble: new(atomic.Bool)}
		if err := r.addRawLeaf(leaf, rosterName, kelaniVMs[i%kelaniZones]); err != nil {
			return err
		}
	}
	conf.Routes = append(conf.Routes, salinity, drop)
	r.store.inner.Put("config", "main", conf)
	return nil
}

// addRawLeaf starts a leaf and registers it.
func (r *rig) addRawLeaf(leaf *rawLeaf, service, zone string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	leaf.rig = r
	go leaf.run(ln)
	r.store.inner.Put("servers", leaf.id, map[string]any{
		"service": service, "addr": ln.Addr().String(), "zone": zone, "version": "v1", "max_concurrency": 2, "state": "ready",
		"warmup_left_ms": 0, "seq": 1, "born": leafStart,
	})
	return nil
}

// superviseMemory ends the process when its memory exceeds the limit, and starts it again, as
// the platform does.
func (v *vm) superviseMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(memoryCheck)
		v.mu.Lock()
		pid, ended := v.process.Process.Pid, v.ended
		v.mu.Unlock()
		bytes := residentBytes(pid)
		v.peak = max(v.peak, bytes)
		if bytes <= memoryLimit {
			continue
		}
		v.ends++
		v.rig.log("%s uses %d MB and is ended", v.name, bytes>>20)
		v.signal(syscall.SIGKILL)
		<-ended
		time.Sleep(restartDelay)
		if err := v.start(false); err != nil {
			v.rig.log("%v", err)
			return
		}
	}
}
