package main

import (
	"context"
	"io"
	"sort"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each process's generation and each leaf's state with its reason",
		Action: func(ctx context.Context, c *cli.Command) error {
			replies, err := askAll(ctx, c, func(ctx context.Context, a medlarv1connect.AdminServiceClient) (*medlarv1.StatusResponse, error) {
				resp, err := a.Status(ctx, connect.NewRequest(&medlarv1.StatusRequest{}))
				if err != nil {
					return nil, err
				}
				return resp.Msg, nil
			})
			if err != nil {
				return err
			}
			return show(c, replies, func(w io.Writer) { printStatus(w, replies) })
		},
	}
}

func printStatus(w io.Writer, replies []adminReply[*medlarv1.StatusResponse]) {
	line(w, "VM\tPROCESS\tZONE\tGENERATION\tREADY\tADDRESS")
	for _, r := range replies {
		if r.Error != "" {
			line(w, "?\t?\t?\t?\t?\t%s: %s", r.Address, r.Error)
			continue
		}
		m := r.Message
		line(w, "%s\t%s\t%s\t%d\t%t\t%s", m.GetVm(), m.GetProcess(), m.GetZone(), m.GetGeneration(), m.GetReady(), r.Address)
	}
	line(w, "\nLEAF\tRELAY\tSTATE\tREASON")
	for _, l := range leafLines(replies) {
		line(w, "%s\t%s\t%s\t%s", l.leaf, l.relay, l.state, l.reason)
	}
}

// leafLine is what one relay says of one leaf.
type leafLine struct{ leaf, relay, state, reason string }

func leafLines(replies []adminReply[*medlarv1.StatusResponse]) []leafLine {
	var out []leafLine
	for _, r := range replies {
		for _, l := range r.Message.GetLeaves() {
			out = append(out, leafLine{leaf: l.GetLeaf(), relay: r.Message.GetVm(), state: l.GetState(), reason: l.GetReason()})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].leaf != out[j].leaf {
			return out[i].leaf < out[j].leaf
		}
		return out[i].relay < out[j].relay
	})
	return out
}
