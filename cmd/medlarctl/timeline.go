package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "print the events of all processes in one order",
		Description: `Columns: wall time, process and VM, kind, subject, detail, request. Long details
are truncated; '--output json' prints them in full.

  medlarctl timeline --request vm-1-be9735efe1ba2c60-15
  medlarctl timeline --kind warm-up --subject enrolment-07-1
  medlarctl timeline --kind in-force --last 9`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only the events of request `ID`"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this `KIND`, such as in-force, warm-up, refusal or query-done"},
			&cli.StringFlag{Name: "subject", Usage: "only events about this `SUBJECT`, such as a leaf"},
			&cli.IntFlag{Name: "last", Value: 40, Usage: "print at most `N` events, the latest"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	replies, err := callAll(ctx, c, func(ctx context.Context, a medlarv1connect.AdminServiceClient) (*medlarv1.EventsResponse, error) {
		resp, err := a.Events(ctx, connect.NewRequest(&medlarv1.EventsRequest{RequestId: c.String("request")}))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
	if err != nil {
		return err
	}
	events := mergeEvents(c, replies)
	return show(c, events, func(w io.Writer) { printEvents(w, events, replies, c.String("request") == "") })
}

// mergeEvents returns the latest events that the flags select, ordered by their
// hybrid timestamps: wall time first, then logical counter.
func mergeEvents(c *cli.Command, replies []adminReply[*medlarv1.EventsResponse]) []*medlarv1.Event {
	out := []*medlarv1.Event{}
	for _, r := range replies {
		for _, e := range r.Message.GetEvents() {
			if matchesFilter(c.String("kind"), e.GetKind()) && matchesFilter(c.String("subject"), e.GetSubject()) {
				out = append(out, e)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].GetWallNs() != out[j].GetWallNs() {
			return out[i].GetWallNs() < out[j].GetWallNs()
		}
		return out[i].GetLogical() < out[j].GetLogical()
	})
	return out[max(0, len(out)-max(0, c.Int("last"))):]
}

func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// maxDetailLength is the limit in characters at which an event still fits on one
// line of a screen.
const maxDetailLength = 60

func truncate(detail string) string {
	runes := []rune(detail)
	if len(runes) <= maxDetailLength {
		return detail
	}
	return string(runes[:maxDetailLength-3]) + "..."
}

func printEvents(w io.Writer, events []*medlarv1.Event, replies []adminReply[*medlarv1.EventsResponse], withRequest bool) {
	for _, e := range events {
		at := time.Unix(0, e.GetWallNs()).Format("15:04:05.000000")
		text := fmt.Sprintf("%s\t%s %s\t%s\t%s\t%s", at, e.GetProcess(), e.GetVm(), e.GetKind(), e.GetSubject(), truncate(e.GetDetail()))
		if withRequest && e.GetRequestId() != "" {
			text += "\t" + e.GetRequestId()
		}
		printLine(w, "%s", text)
	}
	if len(events) == 0 {
		printLine(w, "no process holds an event that matches")
	}
	for _, r := range replies {
		if r.Error != "" {
			printLine(w, "no events from %s: %s", r.Address, r.Error)
		}
		if r.Message.GetDropped() > 0 {
			printLine(w, "%s dropped %d older events", r.Address, r.Message.GetDropped())
		}
	}
}
