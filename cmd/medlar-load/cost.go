package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/harness"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

const (
	// costRate is in queries per second at the largest fan-out. Smaller fan-outs
	// get a proportionally higher rate, so that the rate of leaf requests is the
	// same. It keeps the processes busy without a queue.
	costRate = 20
	// costLeafRequests is the number of leaf requests measured per fan-out.
	costLeafRequests = 60_000
	// warmUpTimeout limits the wait until all leaves are warm.
	warmUpTimeout = 60 * time.Second
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name: "cost", Usage: "measure the CPU time per query for several numbers of leaves",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
			&cli.IntSliceFlag{Name: "fan-out", Value: standin.FanOuts, Usage: "`NUMBER` of leaves per query, one of 10, 50 and 170; may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return measureCosts(ctx, c.String("bin"), c.IntSlice("fan-out"))
		},
	}
}

// costRow holds the CPU time of all measured queries of one fan-out.
type costRow struct {
	fanOut  int
	queries int
	// entry and relay are the CPU time of all entries and of all relays.
	entry time.Duration
	relay time.Duration
	// direct is the CPU time of a client that sends the same leaf requests
	// straight to the leaves.
	direct time.Duration
}

func measureCosts(ctx context.Context, bin string, fanOuts []int) error {
	for _, n := range fanOuts {
		if !slices.Contains(standin.FanOuts, n) {
			return fmt.Errorf("fan-out %d is not one of %v", n, standin.FanOuts)
		}
	}
	dir, err := os.MkdirTemp("", "medlar-cost-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cluster, err := harness.Start(ctx, harness.Options{Bin: bin, Dir: dir, User: "fanout", VMsPerZone: 2})
	if err != nil {
		return err
	}
	defer cluster.Kill()
	if err := cluster.PutAllSections(ctx); err != nil {
		return err
	}
	if err := cluster.WaitGeneration(ctx, uint64(len(cluster.Fleet.Sections))); err != nil {
		return err
	}
	var rows []costRow
	for _, n := range fanOuts {
		row, err := measureFanOut(ctx, cluster, n)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printCosts(rows)
	return cluster.Stop()
}

func measureFanOut(ctx context.Context, cluster *harness.Cluster, fanOut int) (costRow, error) {
	class := fmt.Sprintf("fan%d", fanOut)
	if err := warmUp(ctx, cluster, class); err != nil {
		return costRow{}, err
	}
	row := costRow{fanOut: fanOut, queries: costLeafRequests / fanOut}
	entryBefore, relayBefore, err := cpuTimes(cluster)
	if err != nil {
		return row, err
	}
	entries := []string{cluster.Fleet.VMAddress(0, standin.PortEntryCallers), cluster.Fleet.VMAddress(1, standin.PortEntryCallers)}
	report := newRunner(entries, class, costRate*float64(standin.FanOuts[len(standin.FanOuts)-1])/float64(fanOut), row.queries).Run(ctx)
	if report.Complete < report.Sent {
		report.Print(os.Stderr)
	}
	entryAfter, relayAfter, err := cpuTimes(cluster)
	if err != nil {
		return row, err
	}
	row.entry, row.relay = entryAfter-entryBefore, relayAfter-relayBefore
	row.direct, err = measureDirect(ctx, cluster, class, row.queries)
	return row, err
}

// warmUp sends queries until enough of them had full coverage for all leaves to
// have their full number of slots.
func warmUp(ctx context.Context, cluster *harness.Cluster, class string) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	const minCompleteQueries = 100
	complete := 0
	return harness.Wait(ctx, "warm leaves", func() error {
		resp, err := cluster.Query(ctx, complete%2, class, "warm")
		if err != nil {
			return err
		}
		if resp.GetCoverage().GetCoveredWeight() == resp.GetCoverage().GetTotalWeight() {
			complete++
		}
		if complete < minCompleteQueries {
			return fmt.Errorf("%d complete answers", complete)
		}
		return nil
	})
}

// cpuTimes returns the CPU time that all entries and all relays have used so far.
func cpuTimes(cluster *harness.Cluster) (entry, relay time.Duration, err error) {
	if entry, err = cluster.CPU(harness.RoleEntry); err != nil {
		return 0, 0, err
	}
	relay, err = cluster.CPU(harness.RoleRelay)
	return entry, relay, err
}

// measureDirect sends the same leaf requests straight from this process to the
// leaves and returns the CPU time that this process used for them.
func measureDirect(ctx context.Context, cluster *harness.Cluster, class string, queries int) (time.Duration, error) {
	var clients []medlarv1connect.LeafServiceClient
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	var shards []string
	for _, leaf := range cluster.Fleet.Leaves {
		if len(leaf.Shard) > len(class) && leaf.Shard[:len(class)+1] == class+"-" {
			clients = append(clients, medlarv1connect.NewLeafServiceClient(&http.Client{Transport: transport}, "http://"+leaf.Address))
			shards = append(shards, leaf.Shard)
		}
	}
	before, err := harness.SelfCPU()
	if err != nil {
		return 0, err
	}
	for range queries {
		var g errgroup.Group
		for i, client := range clients {
			g.Go(func() error {
				_, err := client.Search(ctx, connect.NewRequest(&medlarv1.SearchRequest{
					Shard: shards[i], Text: "direct",
					Snapshot: &medlarv1.Snapshot{IndexVersion: 1, PartitionGeneration: 1},
				}))
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return 0, err
		}
	}
	after, err := harness.SelfCPU()
	return after - before, err
}

func printCosts(rows []costRow) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FAN-OUT\tQUERIES\tENTRY us/leaf request\tRELAY us/leaf request\tDIRECT us/leaf request\tPATH / DIRECT\tENTRY us/query")
	for _, r := range rows {
		perLeaf := func(d time.Duration) float64 {
			return float64(d.Microseconds()) / float64(r.queries*r.fanOut)
		}
		// Compares the path through entry and relay with direct calls.
		path := perLeaf(r.entry) + perLeaf(r.relay)
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\n", r.fanOut, r.queries, perLeaf(r.entry), perLeaf(r.relay),
			perLeaf(r.direct), path/perLeaf(r.direct), float64(r.entry.Microseconds())/float64(r.queries))
	}
	_ = w.Flush()
}
