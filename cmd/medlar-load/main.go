// Command medlar-load sends queries at a constant rate and reports latency and
// coverage. It also measures the CPU time per query.
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
		Usage: "send queries at a constant rate and report latency and coverage",
		Description: `Against a running installation:

  medlar-load run --entry 127.66.1.1:8080 --class course-finder --rate 200 --count 2000

CPU time per query for several numbers of leaves, in an installation that the
command starts itself:

  medlar-load cost --bin bin`,
		Commands: []*cli.Command{runCommand(), costCommand()},
	}
	os.Exit(command.ExitCode(app.Run(context.Background(), os.Args)))
}
