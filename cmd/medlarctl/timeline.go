package main

import (
	"context"
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
		Name: "timeline", Usage: "merge the events of all processes into one order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "only the events of request `ID`"},
			&cli.StringFlag{Name: "kind", Usage: "only events of this `KIND`, such as in-force or zone-out"},
			&cli.StringFlag{Name: "subject", Usage: "only events about this `SUBJECT`, such as a leaf"},
			&cli.IntFlag{Name: "last", Value: 200, Usage: "print at most `N` events, the latest"},
		},
		Action: timeline,
	}
}

func timeline(ctx context.Context, c *cli.Command) error {
	replies, err := askAll(ctx, c, func(ctx context.Context, a medlarv1connect.AdminServiceClient) (*medlarv1.EventsResponse, error) {
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
	return show(c, events, func(w io.Writer) { printEvents(w, events, replies) })
}

func mergeEvents(c *cli.Command, replies []adminReply[*medlarv1.EventsResponse]) []*medlarv1.Event {
	var out []*medlarv1.Event
	for _, r := range replies {
		for _, e := range r.Message.GetEvents() {
			if wanted(c.String("kind"), e.GetKind()) && wanted(c.String("subject"), e.GetSubject()) {
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
	return out[max(0, len(out)-c.Int("last")):]
}

func wanted(filter, value string) bool { return filter == "" || filter == value }

func printEvents(w io.Writer, events []*medlarv1.Event, replies []adminReply[*medlarv1.EventsResponse]) {
	for _, e := range events {
		at := time.Unix(0, e.GetWallNs()).Format("15:04:05.000000")
		line(w, "%s\t%s %s\t%s\t%s\t%s\t%s", at, e.GetProcess(), e.GetVm(), e.GetKind(), e.GetSubject(), e.GetDetail(), e.GetRequestId())
	}
	for _, r := range replies {
		if r.Error != "" {
			line(w, "no events from %s: %s", r.Address, r.Error)
		}
		if r.Message.GetDropped() > 0 {
			line(w, "%s dropped %d older events", r.Address, r.Message.GetDropped())
		}
	}
}
