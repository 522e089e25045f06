package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// StartReady starts a cluster, puts its configuration and waits until every
// entry answers a query of the class completely. Some leaves may still be cold
// then.
func StartReady(ctx context.Context, opts Options, class string) (*Cluster, error) {
	c, err := Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	if err := c.prepare(ctx, class); err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) prepare(ctx context.Context, class string) error {
	if err := c.PutAllSections(ctx); err != nil {
		return err
	}
	if err := c.WaitGeneration(ctx, uint64(len(c.Fleet.Sections))); err != nil {
		return err
	}
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	return c.WaitComplete(ctx, class)
}

// WaitComplete sends queries until every entry answers completely, one after
// the other without a failure between.
func (c *Cluster) WaitComplete(ctx context.Context, class string) error {
	n := 0
	var last error
	err := Wait(ctx, "complete answers of all entries", func() error {
		for vm := range c.Fleet.VMs {
			n++
			resp, err := c.Query(ctx, vm, class, fmt.Sprintf("warm-%d", n))
			if err == nil {
				err = Complete(resp)
			}
			if err != nil {
				if ctx.Err() == nil {
					last = err
				}
				return err
			}
		}
		return nil
	})
	if err != nil {
		return errors.Wrapf(err, "%d queries, %v\n%s", n, last, c.Report(context.WithoutCancel(ctx)))
	}
	return nil
}

// Complete returns an error if an answer does not cover everything.
func Complete(r *medlarv1.QueryResponse) error {
	if c := r.GetCoverage(); c.GetCoveredWeight() < c.GetTotalWeight() || c.GetTotalWeight() == 0 {
		return fmt.Errorf("coverage %d of %d, missing %v", c.GetCoveredWeight(), c.GetTotalWeight(), c.GetMissing())
	}
	return nil
}

// Runs returns how often each leaf started the request of a ticket. Leaves
// that did not start it are absent.
func (c *Cluster) Runs(ticket string) (map[string]int, error) {
	resp, err := c.http.Get(c.Fleet.ControlURL() + "/runs?request=" + url.QueryEscape(ticket))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := make(map[string]int)
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// Restart starts a process of a VM that has ended, with a new boot ID, and
// waits until it is ready.
func (c *Cluster) Restart(ctx context.Context, vm int, role string) error {
	if err := c.StartProcess(vm, role); err != nil {
		return err
	}
	return c.waitHTTP(ctx, "http://"+c.adminAddress(vm, role)+"/readyz")
}

// ReadyURL is where a process says whether the balancer may send to it.
func (c *Cluster) ReadyURL(vm int, role string) string {
	return "http://" + c.adminAddress(vm, role) + "/readyz"
}

// logTail is how much of a log Report shows.
const logTail = 1500

// Report describes the processes and the leaves that get no full load, for the
// log of a failed test.
func (c *Cluster) Report(ctx context.Context) string {
	var out strings.Builder
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			s, err := c.Status(ctx, vm, role)
			if err != nil {
				log := c.Log(vm, role)
				fmt.Fprintf(&out, "%s: %v; end of its log:\n%s\n", processName(vm, role), err, log[max(0, len(log)-logTail):])
				continue
			}
			fmt.Fprintf(&out, "%s: ready %t, generation %d, %d VMs\n", processName(vm, role), s.GetReady(), s.GetGeneration(), len(s.GetVms()))
			for _, l := range s.GetLeaves() {
				if l.GetState() != "warm" {
					fmt.Fprintf(&out, "  %s %s %s\n", l.GetLeaf(), l.GetState(), l.GetReason())
				}
			}
		}
	}
	return out.String()
}
