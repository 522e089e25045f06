// Command medlar-standin runs stand-ins for the platform and the upstream leaves
// on loopback addresses. Only tests, measurements and the demonstration use it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

func main() {
	app := &cli.Command{
		Name: "medlar-standin", Version: command.Version,
		Usage:     "stand in for the platform and the upstream leaves in tests",
		UsageText: "medlar-standin --user valdivia --net 127.66 [--vms-per-zone 3]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "valdivia", Usage: "installation to simulate: valdivia, kelani or fanout"},
			&cli.StringFlag{Name: "net", Value: "127.66", Usage: "first two octets of all loopback addresses"},
			&cli.IntFlag{Name: "vms-per-zone", Value: 3, Usage: "number of VMs per zone in the VM list"},
		},
		Action: run,
	}
	command.MakeStrict(app)
	os.Exit(command.ExitCode(app.Run(context.Background(), os.Args)))
}

func run(ctx context.Context, c *cli.Command) error {
	fleet, err := standin.NewFleet(c.String("user"), c.String("net"), c.Int("vms-per-zone"))
	if err != nil {
		return command.WithExit(command.ExitSettings, err)
	}
	ctx, stop := lifecycle.StopContext(ctx)
	defer stop()
	fmt.Fprintf(os.Stderr, "stand-ins: platform %s, control %s, %d leaves\n", fleet.PlatformURL(), fleet.ControlURL(), len(fleet.Leaves))
	if err := standin.NewServer(fleet).Run(ctx); err != nil {
		return command.WithExit(command.ExitFailed, err)
	}
	return nil
}
