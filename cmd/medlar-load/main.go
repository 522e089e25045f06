// Command medlar-load sends queries at a steady rate and reports latency and
// coverage, and measures what a query costs.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
)

func main() {
	app := &cli.Command{
		Name: "medlar-load", Version: command.Version,
		Usage: "send queries at a steady rate and report latency and coverage",
		Description: `Against a running installation:

  medlar-load run --entry 127.66.1.1:8080 --class course-finder --rate 200 --count 2000

What a query costs by its number of leaves, on an installation of its own:

  medlar-load cost --bin bin`,
		Commands: []*cli.Command{runCommand(), costCommand()},
	}
	os.Exit(command.ExitCode(app.Run(context.Background(), os.Args)))
}
