package harness

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

// Trace returns the events of a request over all processes, or those of all
// requests about some leaves if no request is given, one per line in order of
// time. Processes that do not answer are left out.
func (c *Cluster) Trace(ctx context.Context, requestID string, subjects ...string) string {
	var events []*medlarv1.Event
	for vm := range c.Fleet.VMs {
		for _, role := range roles {
			client := medlarv1connect.NewAdminServiceClient(c.http, "http://"+c.adminAddress(vm, role))
			resp, err := client.Events(ctx, connect.NewRequest(&medlarv1.EventsRequest{RequestId: requestID}))
			if err != nil {
				continue
			}
			events = append(events, resp.Msg.GetEvents()...)
		}
	}
	if len(subjects) > 0 {
		events = slices.DeleteFunc(events, func(e *medlarv1.Event) bool { return !slices.Contains(subjects, e.GetSubject()) })
	}
	slices.SortStableFunc(events, func(a, b *medlarv1.Event) int { return int(a.GetWallNs() - b.GetWallNs()) })
	var out strings.Builder
	for _, e := range events {
		fmt.Fprintf(&out, "%s %s %s %s %s %s %s\n", time.Unix(0, e.GetWallNs()).Format("05.000"),
			e.GetVm(), e.GetProcess(), e.GetKind(), e.GetSubject(), e.GetDetail(), e.GetRequestId())
	}
	return out.String()
}
