package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

func queryCommand() *cli.Command {
	return &cli.Command{
		Name: "query", Usage: "run one query and show its hits and coverage", ArgsUsage: "TEXT",
		Description: `  medlarctl query --entry 10.0.0.1:8080 --class course-finder "spoon carving"`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "`IP:PORT` at which an entry answers callers"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "`CLASS` of the query"},
			timeoutFlag(),
			&cli.IntFlag{Name: "hits", Value: 10, Usage: "print at most `N` hits as text"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			client := medlarv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+c.String("entry"))
			resp, err := client.Query(ctx, connect.NewRequest(&medlarv1.QueryRequest{Class: c.String("class"), Text: c.Args().First()}))
			if err != nil {
				return callError(err, c.String("entry"), mayHaveRun)
			}
			return show(c, resp.Msg, func(w io.Writer) { printResponse(w, resp.Msg, c.Int("hits")) })
		},
	}
}

// callTimeout exceeds the longest time that a planned stop waits for a running
// request.
const callTimeout = 40 * time.Second

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: callTimeout, Usage: "give up after this `TIME`; the request may continue to run"}
}

func printResponse(w io.Writer, m *medlarv1.QueryResponse, limit int) {
	cov, hits := m.GetCoverage(), m.GetHits()
	printLine(w, "request %s: %d hits, coverage %d of %d, index version %d", m.GetRequestId(), len(hits), cov.GetCoveredWeight(), cov.GetTotalWeight(), m.GetSnapshot().GetIndexVersion())
	for _, s := range cov.GetMissing() {
		printLine(w, "missing\t%s\t%s", s.GetShard(), s.GetReason())
	}
	for _, h := range hits[:min(len(hits), max(limit, 0))] {
		printLine(w, "hit\t%s\t%.3f", h.GetKey(), h.GetScore())
	}
	if more := len(hits) - limit; more > 0 {
		printLine(w, "and %d more hits: see --hits", more)
	}
}
