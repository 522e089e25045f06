package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/load"
)

// maxInFlight limits the number of queries in flight.
const maxInFlight = 512

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "send queries of one class",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`IP:PORT` of an entry; may be repeated"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "class of the queries"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "queries per second"},
			&cli.IntFlag{Name: "count", Value: 1000, Usage: "number of queries"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report := newRunner(c.StringSlice("entry"), c.String("class"), c.Float("rate"), c.Int("count")).Run(ctx)
			if c.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(report)
			}
			report.Print(os.Stdout)
			return nil
		},
	}
}

// newRunner returns a runner that sends queries of one class to the entries in
// turn.
func newRunner(entries []string, class string, rate float64, count int) *load.Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight}
	clients := make([]medlarv1connect.QueryServiceClient, len(entries))
	for i, addr := range entries {
		clients[i] = medlarv1connect.NewQueryServiceClient(&http.Client{Transport: transport}, "http://"+addr)
	}
	return &load.Runner{
		Rate: rate, Count: count, MaxInFlight: maxInFlight,
		Call: func(ctx context.Context, n int) (float64, string) {
			req := &medlarv1.QueryRequest{Class: class, Text: "query " + strconv.Itoa(n)}
			resp, err := clients[n%len(clients)].Query(ctx, connect.NewRequest(req))
			if err != nil {
				return 0, string(errs.FromConnect(err, errs.StepRelaySend, "entry").Reason)
			}
			coverage := resp.Msg.GetCoverage()
			if coverage.GetTotalWeight() == 0 {
				return 0, ""
			}
			return float64(coverage.GetCoveredWeight()) / float64(coverage.GetTotalWeight()), ""
		},
	}
}
