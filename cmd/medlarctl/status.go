package main

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
)

// maxStatusRows limits each list so that the status fits on one screen.
const maxStatusRows = 16

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each process's generation and each leaf's state with its reason",
		Description: `Without --all, only processes that do not reply, are not ready or have an older
generation are listed, and leaves that are not warm at any relay.

  medlarctl status
  medlarctl status --all
  medlarctl --output json status`,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "list every process, and the state of every leaf at every relay"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			replies, err := callAll(ctx, c, func(ctx context.Context, a medlarv1connect.AdminServiceClient) (*medlarv1.StatusResponse, error) {
				resp, err := a.Status(ctx, connect.NewRequest(&medlarv1.StatusRequest{}))
				if err != nil {
					return nil, err
				}
				return resp.Msg, nil
			})
			if err != nil {
				return err
			}
			return show(c, replies, func(w io.Writer) { printStatus(w, replies, c.Bool("all")) })
		},
	}
}

type statusReply = adminReply[*medlarv1.StatusResponse]

func printStatus(w io.Writer, replies []statusReply, all bool) {
	newest := newestGeneration(replies)
	current, ready := 0, 0
	var rows []string
	for _, r := range replies {
		m := r.Message
		if m.GetGeneration() == newest && r.Error == "" {
			current++
		}
		if m.GetReady() {
			ready++
		}
		if all || r.Error != "" || !m.GetReady() || m.GetGeneration() < newest {
			rows = append(rows, processRow(r))
		}
	}
	printLine(w, "processes: %d of %d ready, %d of %d at generation %d", ready, len(replies), current, len(replies), newest)
	printRows(w, "VM\tPROCESS\tZONE\tGENERATION\tREADY\tADDRESS", rows, all)
	reports := leafReports(replies)
	printLine(w, "leaves: %s", countLeaves(reports))
	printRows(w, "LEAF\tRELAY\tSTATE\tREASON", leafRows(reports, all), all)
}

func newestGeneration(replies []statusReply) uint64 {
	var newest uint64
	for _, r := range replies {
		newest = max(newest, r.Message.GetGeneration())
	}
	return newest
}

func processRow(r statusReply) string {
	m := r.Message
	if r.Error != "" {
		return fmt.Sprintf("?\t?\t?\t?\t?\t%s: %s", r.Address, r.Error)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%t\t%s", m.GetVm(), m.GetProcess(), m.GetZone(), m.GetGeneration(), m.GetReady(), r.Address)
}

func printRows(w io.Writer, header string, rows []string, all bool) {
	if len(rows) == 0 {
		return
	}
	printLine(w, "%s", header)
	for i, row := range rows {
		if !all && i == maxStatusRows {
			printLine(w, "and %d more: see --all", len(rows)-i)
			return
		}
		printLine(w, "%s", row)
	}
}

// sortWorstFirst sorts leaves by their best state at any relay, the least usable
// state first.
func sortWorstFirst(reports []leafReport, best map[string]string) {
	sort.SliceStable(reports, func(i, j int) bool {
		return usabilityRank(best[reports[i].leaf]) > usabilityRank(best[reports[j].leaf])
	})
}

// leafReport is the state of one leaf at one relay.
type leafReport struct{ leaf, relay, state, reason string }

func leafReports(replies []statusReply) []leafReport {
	var out []leafReport
	for _, r := range replies {
		for _, l := range r.Message.GetLeaves() {
			out = append(out, leafReport{leaf: l.GetLeaf(), relay: r.Message.GetVm(), state: l.GetState(), reason: l.GetReason()})
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

// statesByUsability lists the states from the most to the least usable. A leaf is
// counted under the first of them that any relay reports for it.
var statesByUsability = []string{"warm", "warming", "cold", "leaving", "down"}

func usabilityRank(state string) int {
	for i, s := range statesByUsability {
		if s == state {
			return i
		}
	}
	return len(statesByUsability)
}

func bestStates(reports []leafReport) map[string]string {
	best := make(map[string]string)
	for _, l := range reports {
		if previous, ok := best[l.leaf]; !ok || usabilityRank(l.state) < usabilityRank(previous) {
			best[l.leaf] = l.state
		}
	}
	return best
}

func countLeaves(reports []leafReport) string {
	counts := make(map[string]int)
	best := bestStates(reports)
	for _, state := range best {
		counts[state]++
	}
	parts := []string{fmt.Sprintf("%d", len(best))}
	for _, state := range statesByUsability {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}

func leafRows(reports []leafReport, all bool) []string {
	best := bestStates(reports)
	if !all {
		sortWorstFirst(reports, best)
	}
	var rows []string
	for _, l := range reports {
		if all || best[l.leaf] != "warm" {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", l.leaf, l.relay, l.state, l.reason))
		}
	}
	return rows
}
