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
	// warmUpTimeout limits the wait until all leaves are warm.
	warmUpTimeout = 60 * time.Second
	// deadShard is the shard whose leaves are all stopped in one step.
	deadShard = "enrolment-07"
	// outZone is the zone that is taken out of service and brought back.
	outZone = "osorno"
	// quietPeriod is how long a zone must receive no new work to count as out of
	// service.
	quietPeriod = 2 * time.Second
)

var steps = []step{
	{"configuration", configure},
	{"warm-up", warmUp},
	{"course finder", courseFinder},
	{"one shard dead", queryWithDeadShard},
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

// warmUp sends queries until one has full coverage and every leaf of the index
// "enrolment" is warm.
func warmUp(ctx context.Context, d *demo) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	n := 0
	err := harness.Wait(ctx, "a complete answer from warm leaves", func() error {
		n++
		resp, err := d.cluster.Query(ctx, n%len(d.cluster.Fleet.VMs), "course-finder", "spoon")
		if err != nil {
			return err
		}
		return d.checkAllWarm(resp)
	})
	return fmt.Sprintf("all leaves of the index are warm after %d queries", n), err
}

// checkAllWarm returns an error unless the response has full coverage and every
// leaf of the index "enrolment" is warm.
func (d *demo) checkAllWarm(resp *medlarv1.QueryResponse) error {
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

// queryWithDeadShard queries while all leaves of one shard are stopped.
func queryWithDeadShard(ctx context.Context, d *demo) (string, error) {
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

// enrol submits a request, repeats it through another entry, and counts how often
// leaves ran it.
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
	runs, duplicates, err := d.executions()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s %q; repeat through another entry: %s %q; runs %d, duplicate runs %d",
		first.GetOutcome(), first.GetResult(), repeat.GetOutcome(), repeat.GetResult(), runs, duplicates), nil
}

// executions returns how often leaves ran a non-idempotent request, and how many
// of these runs were a further run of the same request on the same leaf.
func (d *demo) executions() (runs, duplicates uint64, err error) {
	leaves, err := d.cluster.Leaves()
	for _, l := range leaves {
		runs += l.Executions
		duplicates += l.RepeatedRuns
	}
	return runs, duplicates, err
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
