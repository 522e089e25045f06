// Command medlarctl is the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
)

func main() {
	app := &cli.Command{
		Name: "medlarctl", Version: command.Version,
		Usage: "edit the service document and see what the system does",
		Description: `The platform's URL and your team come from the flags or from the
environment (MEDLAR_PLATFORM, MEDLAR_TEAM).

  medlarctl section get zones
  medlarctl section put zones zones.toml
  medlarctl zone out osorno
  medlarctl status
  medlarctl timeline --request ID`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the object store and the VM list", Sources: cli.EnvVars("MEDLAR_PLATFORM")},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` that makes the edit", Sources: cli.EnvVars("MEDLAR_TEAM")},
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json"},
		},
		Commands: []*cli.Command{sectionCommand(), zoneCommand(), statusCommand(), timelineCommand(), queryCommand(), submitCommand()},
	}
	os.Exit(command.ExitCode(app.Run(context.Background(), os.Args)))
}
