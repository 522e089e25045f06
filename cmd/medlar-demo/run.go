package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// vmsPerZone results in 9 VMs in the three zones of the installation "valdivia".
const vmsPerZone = 3

// demo holds a running installation and the state that its steps share.
type demo struct {
	cluster *harness.Cluster
	began   time.Time
	// requestID names the request whose events the last step prints.
	requestID string
}

// step is one part of the demonstration.
type step struct {
	name string
	// run returns the line to print.
	run func(context.Context, *demo) (string, error)
}

func run(ctx context.Context, bin string) error {
	dir, err := os.MkdirTemp("", "medlar-demo-")
	if err != nil {
		return err
	}
	cluster, err := harness.Start(ctx, harness.Options{Bin: bin, Dir: dir, User: "valdivia", VMsPerZone: vmsPerZone})
	if err != nil {
		return err
	}
	defer cluster.Kill()
	d := &demo{cluster: cluster, began: time.Now()}
	fmt.Printf("%d VMs, %d leaves; settings and logs in %s\n", len(cluster.Fleet.VMs), len(cluster.Fleet.Leaves), dir)
	for _, s := range steps {
		line, err := s.run(ctx, d)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		fmt.Printf("%6.2fs  %-15s %s\n", time.Since(d.began).Seconds(), s.name, line)
	}
	if err := cluster.Stop(); err != nil {
		return err
	}
	fmt.Printf("%6.2fs  all processes stopped gracefully\n", time.Since(d.began).Seconds())
	return os.RemoveAll(dir)
}
