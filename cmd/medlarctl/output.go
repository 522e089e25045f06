package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// show prints a value as JSON, or as text by the given function.
func show(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func line(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}
