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

// maxStatusRows bounds each list, so that the status fits a screen.
const maxStatusRows = 16

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each process's generation and each leaf's state with its reason",
		Description: `Without --all only what needs a look is listed: processes that do not answer,
are not ready or have an older generation, and leaves that no relay has warm.

  medlarctl status
  medlarctl status --all
  medlarctl --output json status`,
		Flags: []cli.Flag{&cli.BoolFlag{Name: "all", Usage: "list every process and what every relay says of every leaf"}},
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
	line(w, "processes: %d of %d ready, %d of %d at generation %d", ready, len(replies), current, len(replies), newest)
	printRows(w, "VM\tPROCESS\tZONE\tGENERATION\tREADY\tADDRESS", rows, all)
	lines := leafLines(replies)
	line(w, "leaves: %s", countLeaves(lines))
	printRows(w, "LEAF\tRELAY\tSTATE\tREASON", leafRows(lines, all), all)
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
	line(w, "%s", header)
	for i, row := range rows {
		if !all && i == maxStatusRows {
			line(w, "and %d more: see --all", len(rows)-i)
			return
		}
		line(w, "%s", row)
	}
}

// worstFirst puts leaves that nothing can use before those that wait for work.
func worstFirst(lines []leafLine, best map[string]string) {
	sort.SliceStable(lines, func(i, j int) bool {
		return rank(best[lines[i].leaf]) > rank(best[lines[j].leaf])
	})
}

// leafLine is what one relay says of one leaf.
type leafLine struct{ leaf, relay, state, reason string }

func leafLines(replies []statusReply) []leafLine {
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

// stateOrder is the order in which states are counted. A leaf counts under the
// first state that one of its relays has for it.
var stateOrder = []string{"warm", "warming", "cold", "leaving", "down"}

func rank(state string) int {
	for i, s := range stateOrder {
		if s == state {
			return i
		}
	}
	return len(stateOrder)
}

func bestStates(lines []leafLine) map[string]string {
	best := make(map[string]string)
	for _, l := range lines {
		if known, ok := best[l.leaf]; !ok || rank(l.state) < rank(known) {
			best[l.leaf] = l.state
		}
	}
	return best
}

func countLeaves(lines []leafLine) string {
	counts := make(map[string]int)
	best := bestStates(lines)
	for _, state := range best {
		counts[state]++
	}
	parts := []string{fmt.Sprintf("%d", len(best))}
	for _, state := range stateOrder {
		if counts[state] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
		}
	}
	return strings.Join(parts, ", ")
}

func leafRows(lines []leafLine, all bool) []string {
	best := bestStates(lines)
	if !all {
		worstFirst(lines, best)
	}
	var rows []string
	for _, l := range lines {
		if all || best[l.leaf] != "warm" {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", l.leaf, l.relay, l.state, l.reason))
		}
	}
	return rows
}
