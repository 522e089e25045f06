package harness

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Wait checks a condition until it returns nil or the context is done. It then
// returns the last error of the condition, prefixed with what it waited for.
func Wait(ctx context.Context, what string, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrapf(err, "waiting for %s", what)
		}
	}
}

func (c *Cluster) waitHTTP(ctx context.Context, url string) error {
	return Wait(ctx, url, func() error { return c.checkHTTPStatus(url) })
}

func (c *Cluster) checkHTTPStatus(url string) error {
	resp, err := c.http.Get(url)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", url, resp.Status)
	}
	return nil
}

// WaitReady waits until every entry accepts callers.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for vm := range c.Fleet.VMs {
		if err := c.waitHTTP(ctx, "http://"+c.adminAddress(vm, RoleEntry)+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// WaitGeneration waits until the given generation or a later one is active at
// every entry and relay.
func (c *Cluster) WaitGeneration(ctx context.Context, generation uint64) error {
	for vm := range c.Fleet.VMs {
		for _, role := range []string{RoleEntry, RoleRelay} {
			err := Wait(ctx, "active generation", func() error { return c.checkGeneration(ctx, vm, role, generation) })
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) checkGeneration(ctx context.Context, vm int, role string, generation uint64) error {
	status, err := c.Status(ctx, vm, role)
	if err != nil {
		return err
	}
	if !status.GetReady() || status.GetGeneration() < generation {
		return errors.Errorf("%s of vm %d: ready %t, generation %d", role, vm, status.GetReady(), status.GetGeneration())
	}
	return nil
}
