package main

import (
	"context"
	"io"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name: "submit", Usage: "run one non-idempotent request at most once", ArgsUsage: "PAYLOAD",
		Description: `The ticket is printed with every outcome and every error. To repeat a request,
pass its ticket: without it, the request gets a new ticket and may run a second
time.

  medlarctl submit --entry 10.0.0.1:8080 --class enrol --shard enrolment-01 "student 17"
  medlarctl submit --entry 10.0.0.2:8080 --class enrol --shard enrolment-01 --ticket T "student 17"`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entry", Required: true, Usage: "`IP:PORT` at which an entry answers callers"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "`CLASS` of the request"},
			timeoutFlag(),
			&cli.StringFlag{Name: "shard", Usage: "`SHARD` that the request changes"},
			&cli.StringFlag{Name: "ticket", Usage: "repeat the request of this `TICKET` instead of starting a new one"},
		},
		Action: submit,
	}
}

// submitOutput is the JSON output of a submit.
type submitOutput struct {
	Ticket    string `json:"ticket"`
	Outcome   string `json:"outcome"`
	Result    string `json:"result"`
	Reason    string `json:"reason"`
	Repeated  bool   `json:"repeated_call"`
	RequestID string `json:"request_id"`
}

func submit(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	entry := c.String("entry")
	client := medlarv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+entry)
	ticket := c.String("ticket")
	if ticket == "" {
		begun, err := client.BeginSubmit(ctx, connect.NewRequest(&medlarv1.BeginSubmitRequest{Class: c.String("class")}))
		if err != nil {
			return errors.WithMessage(callError(err, entry, didNotRun), "no ticket")
		}
		ticket = begun.Msg.GetTicket()
	}
	resp, err := client.Submit(ctx, connect.NewRequest(&medlarv1.SubmitRequest{
		Ticket: ticket, Class: c.String("class"), Shard: c.String("shard"), Payload: []byte(c.Args().First()),
	}))
	if err != nil {
		return errors.Errorf("%v\nrepeat with: --ticket %s", callError(err, entry, mayHaveRun), ticket)
	}
	m := resp.Msg
	output := submitOutput{
		Ticket: ticket, Outcome: outcomeName(m.GetOutcome()), Result: string(m.GetResult()),
		Reason: m.GetReason(), Repeated: m.GetRepeatedCall(), RequestID: m.GetRequestId(),
	}
	return show(c, output, func(w io.Writer) {
		printLine(w, "ticket\t%s", output.Ticket)
		printLine(w, "outcome\t%s", output.Outcome)
		printLine(w, "result\t%s", output.Result)
		printLine(w, "reason\t%s", output.Reason)
		printLine(w, "repeated\t%t", output.Repeated)
	})
}

// outcomeName returns "done", "not-run" or "unknown".
func outcomeName(o medlarv1.SubmitOutcome) string {
	name := strings.TrimPrefix(o.String(), "SUBMIT_OUTCOME_")
	return strings.ToLower(strings.ReplaceAll(name, "_", "-"))
}
