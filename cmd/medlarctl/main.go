// Command medlarctl is the command-line tool for operators: it edits the service
// document, shows the state and the events of all processes, and sends single
// queries and submits.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/medlarswitch/medlarswitch/internal/command"
)

func main() {
	os.Exit(command.ExitCode(newApp().Run(context.Background(), os.Args)))
}

func newApp() *cli.Command {
	app := &cli.Command{
		Name: "medlarctl", Version: command.Version,
		Usage: "edit the service document and inspect the running system",
		Description: `The platform's URL and your team come from the flags or from the
environment (MEDLAR_PLATFORM, MEDLAR_TEAM).

  export MEDLAR_PLATFORM=http://10.0.0.1:7000 MEDLAR_TEAM=operations
  medlarctl section list
  medlarctl section get zones > zones.toml
  medlarctl section check zones zones.toml
  medlarctl section put zones zones.toml
  medlarctl zone out osorno
  medlarctl status
  medlarctl timeline --request ID

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 edit refused and nothing
changed.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the object store and the VM list", Sources: cli.EnvVars("MEDLAR_PLATFORM")},
			&cli.StringFlag{Name: "team", Usage: "`TEAM` that makes the edit", Sources: cli.EnvVars("MEDLAR_TEAM")},
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "`FORMAT` text or json", Validator: validOutput},
		},
		Commands: []*cli.Command{sectionCommand(), zoneCommand(), statusCommand(), timelineCommand(), queryCommand(), submitCommand()},
	}
	command.MakeStrict(app)
	return app
}
