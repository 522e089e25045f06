package main

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// sectionDiff prints the lines that only the current section contains, followed by
// those that only the file contains.
func sectionDiff(ctx context.Context, c *cli.Command) error {
	_, doc, err := newEditor(ctx, c)
	if err != nil {
		return err
	}
	text, err := readFileArgument(c)
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
			printLine(w, "- %s", l)
		}
		for _, l := range added {
			printLine(w, "+ %s", l)
		}
	})
}

// onlyIn returns the lines of a that are missing in b. A line that occurs more
// often in a than in b is returned once for each additional occurrence.
func onlyIn(a, b string) []string {
	counts := make(map[string]int)
	for _, l := range strings.Split(b, "\n") {
		counts[l]++
	}
	out := []string{}
	for _, l := range strings.Split(a, "\n") {
		if counts[l]--; counts[l] < 0 {
			out = append(out, l)
		}
	}
	return out
}
