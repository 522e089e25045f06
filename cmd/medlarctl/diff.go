package main

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// sectionDiff prints the lines that only the current section or only the file
// has, in order.
func sectionDiff(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readArg(c)
	if err != nil {
		return err
	}
	current, _ := sectionText(doc, c.Args().First())
	removed := onlyIn(string(current), string(text))
	added := onlyIn(string(text), string(current))
	diff := struct {
		Removed []string `json:"removed"`
		Added   []string `json:"added"`
	}{removed, added}
	return show(c, diff, func(w io.Writer) {
		for _, l := range removed {
			line(w, "- %s", l)
		}
		for _, l := range added {
			line(w, "+ %s", l)
		}
	})
}

// onlyIn returns the lines of a that b has fewer of.
func onlyIn(a, b string) []string {
	have := make(map[string]int)
	for _, l := range strings.Split(b, "\n") {
		have[l]++
	}
	out := []string{}
	for _, l := range strings.Split(a, "\n") {
		if have[l]--; have[l] < 0 {
			out = append(out, l)
		}
	}
	return out
}
