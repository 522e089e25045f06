// Command medlar-demo starts the stand-ins and all processes on loopback
// addresses, serves requests under some failures, prints what happened, and
// stops everything. It is what "make run" runs.
package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 2 * time.Minute

func main() {
	app := &cli.Command{
		Name: "medlar-demo", Version: command.Version,
		Usage: "run an installation on loopback addresses and show what it does",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "directory of the programs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, stop := lifecycle.StopContext(ctx)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			if err := run(ctx, c.String("bin")); err != nil {
				return command.WithExit(command.ExitFailed, err)
			}
			return nil
		},
	}
	command.MakeStrict(app)
	os.Exit(command.ExitCode(app.Run(context.Background(), os.Args)))
}
