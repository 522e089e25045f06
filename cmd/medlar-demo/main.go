// Command medlar-demo starts the stand-ins and all processes on loopback
// addresses, sends requests while leaves and a zone are out of service, prints
// the results, and stops all processes. "make run" runs it.
package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
)

// demoTimeout limits the whole demonstration.
const demoTimeout = 2 * time.Minute

func main() {
	app := &cli.Command{
		Name: "medlar-demo", Version: command.Version,
		Usage: "run an installation on loopback addresses and show how it handles failures",
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
