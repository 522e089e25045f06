package command

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// UsageError returns an error for a wrong command line. It includes the usage line
// of the command and has the exit code ExitUsage.
func UsageError(c *cli.Command, format string, args ...any) error {
	err := errors.Errorf(format+"\nusage: %s\nhelp:  %s --help", append(args, usageLine(c), c.FullName())...)
	return WithExit(ExitUsage, err)
}

// MakeStrict makes a command and all its subcommands reject unknown flags, unknown
// subcommands and arguments that don't match ArgsUsage. Arguments whose names are
// in brackets there are optional.
func MakeStrict(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return UsageError(c, "%v", err)
	}
	// Without a handler the CLI library exits the process with its own exit code.
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if len(c.Commands) > 0 {
		c.Action = requireCommand
	} else if action := c.Action; action != nil {
		c.Action = func(ctx context.Context, c *cli.Command) error {
			if err := checkArgs(c); err != nil {
				return err
			}
			return action(ctx, c)
		}
	}
	for _, sub := range c.Commands {
		MakeStrict(sub)
	}
}

func requireCommand(_ context.Context, c *cli.Command) error {
	expected := strings.Join(commandNames(c), ", ")
	if got := c.Args().First(); got != "" {
		return UsageError(c, "unknown command %q: expected one of %s", got, expected)
	}
	return UsageError(c, "the command is missing: expected one of %s", expected)
}

// commandNames returns the names of the visible subcommands without the help
// command, which the CLI library adds to every command.
func commandNames(c *cli.Command) []string {
	var names []string
	for _, sub := range c.VisibleCommands() {
		if sub.Name != "help" {
			names = append(names, sub.Name)
		}
	}
	return names
}

func checkArgs(c *cli.Command) error {
	names := strings.Fields(c.ArgsUsage)
	for i, name := range names {
		if i >= c.Args().Len() && !strings.HasPrefix(name, "[") {
			return UsageError(c, "argument %s is missing", name)
		}
	}
	if c.Args().Len() > len(names) {
		return UsageError(c, "argument %q is unexpected", c.Args().Get(len(names)))
	}
	return nil
}

func usageLine(c *cli.Command) string {
	if c.UsageText != "" {
		return c.UsageText
	}
	parts := []string{c.FullName()}
	for _, f := range c.Flags {
		if r, ok := f.(cli.RequiredFlag); ok && r.IsRequired() {
			parts = append(parts, "--"+f.Names()[0]+" "+placeholder(f))
		}
	}
	if len(commandNames(c)) > 0 {
		parts = append(parts, "COMMAND")
	} else if len(c.VisibleFlags()) > 0 {
		parts = append(parts, "[options]")
	}
	return strings.Join(append(parts, strings.Fields(c.ArgsUsage)...), " ")
}

// placeholder returns the word in backquotes in a flag's help text, or the flag's
// name in upper case.
func placeholder(f cli.Flag) string {
	if doc, ok := f.(cli.DocGenerationFlag); ok {
		if parts := strings.Split(doc.GetUsage(), "`"); len(parts) == 3 {
			return parts[1]
		}
	}
	return strings.ToUpper(f.Names()[0])
}
