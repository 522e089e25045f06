package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/harness"
)

const (
	// warmupTimeout bounds the wait until all leaves are warm.
	warmupTimeout = 60 * time.Second
	// deadShard loses all its leaves in one step.
	deadShard = "enrolment-07"
	outZone   = "osorno"
	// quiet is how long a zone must get no new work to count as out.
	quiet = 2 * time.Second
)

var steps = []step{
	{"configuration", configure},
	{"warm-up", warmUp},
	{"course finder", courseFinder},
	{"one shard dead", shardDead},
	{"quick lookup", quickLookup},
	{"enrolment", enrol},
	{"zone out", zoneOut},
	{"zone in", zoneIn},
	{"time line", timeLine},
}

func configure(ctx context.Context, d *demo) (string, error) {
	if err := d.cluster.PutAllSections(ctx); err != nil {
		return "", err
	}
	accepted := time.Now()
	if err := d.cluster.WaitGeneration(ctx, uint64(len(d.cluster.Fleet.Sections))); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d sections accepted, in force on all entries %.2f s after the last", len(d.cluster.Fleet.Sections), time.Since(accepted).Seconds()), nil
}

// warmUp sends queries until every leaf of the index answers at full rate.
func warmUp(ctx context.Context, d *demo) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	n := 0
	err := harness.Wait(ctx, "a complete answer from warm leaves", func() error {
		n++
		resp, err := d.cluster.Query(ctx, n%len(d.cluster.Fleet.VMs), "course-finder", "spoon")
		if err != nil {
			return err
		}
		return d.allWarm(resp)
	})
	return fmt.Sprintf("all leaves of the index are warm after %d queries", n), err
}

func (d *demo) allWarm(resp *medlarv1.QueryResponse) error {
	if c := resp.GetCoverage(); c.GetCoveredWeight() < c.GetTotalWeight() {
		return fmt.Errorf("coverage %s, missing %v", coverage(resp), missing(resp))
	}
	leaves, err := d.cluster.Leaves()
	if err != nil {
		return err
	}
	for _, l := range leaves {
		if strings.HasPrefix(l.ID, "enrolment") && !l.Warm {
			return fmt.Errorf("leaf %s is cold", l.ID)
		}
	}
	return nil
}

func courseFinder(ctx context.Context, d *demo) (string, error) {
	began := time.Now()
	resp, err := d.cluster.Query(ctx, 0, "course-finder", "spoon carving")
	if err != nil {
		return "", err
	}
	d.requestID = resp.GetRequestId()
	return fmt.Sprintf("%d hits, coverage %s, %d ms", len(resp.GetHits()), coverage(resp), time.Since(began).Milliseconds()), nil
}

func shardDead(ctx context.Context, d *demo) (string, error) {
	for _, leaf := range []string{deadShard + "-1", deadShard + "-2"} {
		if err := d.cluster.ControlLeaf(leaf, "stop"); err != nil {
			return "", err
		}
		defer func() { _ = d.cluster.ControlLeaf(leaf, "start") }()
	}
	resp, err := d.cluster.Query(ctx, 1, "course-finder", "spoon carving")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("coverage %s, missing %v", coverage(resp), missing(resp)), nil
}

func quickLookup(ctx context.Context, d *demo) (string, error) {
	began := time.Now()
	resp, err := d.cluster.Query(ctx, 2, "quick-lookup", "spo")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d hits, coverage %s, %d ms", len(resp.GetHits()), coverage(resp), time.Since(began).Milliseconds()), nil
}

// enrol submits a request and repeats it through another entry.
func enrol(ctx context.Context, d *demo) (string, error) {
	ticket, err := d.cluster.BeginSubmit(ctx, 0, "enrol")
	if err != nil {
		return "", err
	}
	req := &medlarv1.SubmitRequest{Ticket: ticket, Class: "enrol", Shard: "enrolment-01", Payload: []byte("student 17, bench 4")}
	first, err := d.cluster.Submit(ctx, 0, req)
	if err != nil {
		return "", err
	}
	repeat, err := d.cluster.Submit(ctx, 4, req)
	if err != nil {
		return "", err
	}
	runs, doubled, err := d.executions()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %q; repeat through another entry: %s %q; runs %d, doubled %d",
		first.GetOutcome(), first.GetResult(), repeat.GetOutcome(), repeat.GetResult(), runs, doubled), nil
}

func (d *demo) executions() (runs, doubled uint64, err error) {
	leaves, err := d.cluster.Leaves()
	for _, l := range leaves {
		runs += l.Executions
		doubled += l.RepeatedRuns
	}
	return runs, doubled, err
}

func timeLine(ctx context.Context, d *demo) (string, error) {
	out, err := d.cluster.Medlarctl(ctx, "operations", "timeline", "--request", d.requestID, "--last", "12")
	return "the last events of request " + d.requestID + "\n" + out, err
}

func coverage(r *medlarv1.QueryResponse) string {
	c := r.GetCoverage()
	if c.GetTotalWeight() == 0 {
		return "0%"
	}
	return fmt.Sprintf("%d%%", 100*c.GetCoveredWeight()/c.GetTotalWeight())
}

func missing(r *medlarv1.QueryResponse) []string {
	var out []string
	for _, m := range r.GetCoverage().GetMissing() {
		out = append(out, m.GetShard()+" ("+m.GetReason()+")")
	}
	return out
}
