package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

func validOutput(s string) error {
	if s != outputText && s != outputJSON {
		return errors.Errorf("is %q: expected text or json", s)
	}
	return nil
}

// show prints a value as JSON, or as text by the given function.
func show(c *cli.Command, value any, text func(io.Writer)) error {
	if c.String("output") == outputJSON {
		enc := json.NewEncoder(c.Root().Writer)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func printLine(w io.Writer, format string, args ...any) {
	fmt.Fprintf(w, format+"\n", args...)
}
