package main

import (
	"context"
	"io"
	"net/http"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

func queryCommand() *cli.Command {
	return &cli.Command{
		Name: "query", Usage: "run one query and show its hits and coverage", ArgsUsage: "TEXT",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "`IP:PORT` at which an entry answers callers"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "class of the query"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client := medlarv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+c.String("entry"))
			resp, err := client.Query(ctx, connect.NewRequest(&medlarv1.QueryRequest{Class: c.String("class"), Text: c.Args().First()}))
			if err != nil {
				return err
			}
			return show(c, resp.Msg, func(w io.Writer) { printAnswer(w, resp.Msg) })
		},
	}
}

func printAnswer(w io.Writer, m *medlarv1.QueryResponse) {
	cov := m.GetCoverage()
	line(w, "request %s: %d hits, coverage %d of %d, index version %d", m.GetRequestId(), len(m.GetHits()), cov.GetCoveredWeight(), cov.GetTotalWeight(), m.GetSnapshot().GetIndexVersion())
	for _, s := range cov.GetMissing() {
		line(w, "missing\t%s\t%s", s.GetShard(), s.GetReason())
	}
	for _, h := range m.GetHits() {
		line(w, "hit\t%s\t%.3f", h.GetKey(), h.GetScore())
	}
}

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "run one non-idempotent request at most once", ArgsUsage: "PAYLOAD",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "`IP:PORT` at which an entry answers callers"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "class of the request"},
			&cli.StringFlag{Name: "shard", Usage: "shard that the request changes"},
			&cli.StringFlag{Name: "ticket", Usage: "repeat the request of this `TICKET` instead of starting a new one"},
		},
		Action: submit,
	}
}

func submit(ctx context.Context, c *cli.Command) error {
	client := medlarv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+c.String("entry"))
	ticket := c.String("ticket")
	if ticket == "" {
		begun, err := client.BeginSubmit(ctx, connect.NewRequest(&medlarv1.BeginSubmitRequest{Class: c.String("class")}))
		if err != nil {
			return err
		}
		ticket = begun.Msg.GetTicket()
	}
	resp, err := client.Submit(ctx, connect.NewRequest(&medlarv1.SubmitRequest{
		Ticket: ticket, Class: c.String("class"), Shard: c.String("shard"), Payload: []byte(c.Args().First()),
	}))
	if err != nil {
		return err
	}
	return show(c, resp.Msg, func(w io.Writer) {
		line(w, "ticket\t%s", ticket)
		line(w, "outcome\t%s\t%s\t%s", resp.Msg.GetOutcome(), resp.Msg.GetResult(), resp.Msg.GetReason())
	})
}
