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

// StartReady starts a cluster, writes its configuration and waits until every
// entry returns a complete answer to a query of the class. Some leaves may still
// be cold then.
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

// WaitComplete sends one query after the other until every entry in turn returns
// a complete answer, without a failure in between.
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

// Complete returns an error unless an answer covers all shards.
func Complete(r *medlarv1.QueryResponse) error {
	if c := r.GetCoverage(); c.GetCoveredWeight() < c.GetTotalWeight() || c.GetTotalWeight() == 0 {
		return fmt.Errorf("coverage %d of %d, missing %v", c.GetCoveredWeight(), c.GetTotalWeight(), c.GetMissing())
	}
	return nil
}

// Runs returns how often each leaf started the request of a ticket. Leaves that
// did not start it are omitted.
func (c *Cluster) Runs(ticket string) (map[string]int, error) {
	resp, err := c.http.Get(c.Fleet.ControlURL() + "/runs?request=" + url.QueryEscape(ticket))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	out := make(map[string]int)
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// Restart starts a process that has exited, with a new boot ID, and waits until
// it is ready.
func (c *Cluster) Restart(ctx context.Context, vm int, role string) error {
	if err := c.StartProcess(vm, role); err != nil {
		return err
	}
	return c.waitHTTP(ctx, "http://"+c.adminAddress(vm, role)+"/readyz")
}

// ReadyURL returns the URL at which the balancer checks whether a process is
// ready.
func (c *Cluster) ReadyURL(vm int, role string) string {
	return "http://" + c.adminAddress(vm, role) + "/readyz"
}

// maxLogTailBytes limits the part of a log that Report includes.
const maxLogTailBytes = 1500

// Report describes the state of all processes and of the leaves that are not
// warm, for the log of a failed test.
func (c *Cluster) Report(ctx context.Context) string {
	var out strings.Builder
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			s, err := c.Status(ctx, vm, role)
			if err != nil {
				log := c.Log(vm, role)
				fmt.Fprintf(&out, "%s: %v; end of its log:\n%s\n", processName(vm, role), err, log[max(0, len(log)-maxLogTailBytes):])
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
