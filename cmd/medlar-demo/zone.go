package main

import (
	"context"
	"fmt"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/harness"
)

// zoneOut takes a zone out of service under load and measures how long it still
// receives new work.
func zoneOut(ctx context.Context, d *demo) (string, error) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go d.sendLoad(loadCtx)
	if _, err := d.cluster.Medlarctl(ctx, "operations", "zone", "out", outZone); err != nil {
		return "", err
	}
	accepted := time.Now()
	var last time.Time
	err := harness.Wait(ctx, "no new work in "+outZone, func() error {
		var err error
		last, err = d.lastWorkTime(outZone)
		if err == nil && time.Since(last) < quietPeriod {
			return fmt.Errorf("last work %s ago", time.Since(last))
		}
		return err
	})
	delay := max(last.Sub(accepted), 0)
	return fmt.Sprintf("%s received its last work %.2f s after the edit was accepted", outZone, delay.Seconds()), err
}

// zoneIn brings the zone back and measures when it receives work again.
func zoneIn(ctx context.Context, d *demo) (string, error) {
	if _, err := d.cluster.Medlarctl(ctx, "operations", "zone", "in", outZone); err != nil {
		return "", err
	}
	began := time.Now()
	err := harness.Wait(ctx, "work in "+outZone, func() error {
		if _, err := d.cluster.Query(ctx, 1, "course-finder", "spoon"); err != nil {
			return err
		}
		last, err := d.lastWorkTime(outZone)
		if err == nil && last.Before(began) {
			return fmt.Errorf("no work yet")
		}
		return err
	})
	return fmt.Sprintf("%s receives work again %.2f s after the edit was accepted", outZone, time.Since(began).Seconds()), err
}

// sendLoad sends queries through all entries in turn until the context is done.
func (d *demo) sendLoad(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		_, _ = d.cluster.Query(ctx, n%len(d.cluster.Fleet.VMs), "course-finder", "spoon")
	}
}

// lastWorkTime returns when a leaf of a zone last started a request.
func (d *demo) lastWorkTime(zone string) (time.Time, error) {
	leaves, err := d.cluster.Leaves()
	if err != nil {
		return time.Time{}, err
	}
	var last int64
	for i, l := range leaves {
		if d.cluster.Fleet.Leaves[i].Zone == zone {
			last = max(last, l.LastWorkUnixMS)
		}
	}
	return time.UnixMilli(last), nil
}
