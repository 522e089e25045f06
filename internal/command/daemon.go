package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/lifecycle"
	"github.com/medlarswitch/medlarswitch/internal/logsink"
)

// Daemon describes a long-running program.
type Daemon struct {
	Name  string
	Usage string
	// Description is the longer help text, with an example of the settings.
	Description string
	// Load reads and checks the settings file and returns a function that
	// runs the program until the context is done.
	Load func(path string) (run func(ctx context.Context) error, verbosity int, err error)
}

// SettingsEnvVar names the settings file where the command line does not.
const SettingsEnvVar = "MEDLARSWITCH_CONFIG"

const exitCodes = `

Every key is required. SIGTERM or SIGINT stops the program gracefully.

Exit codes: 0 stopped gracefully or settings valid, 1 failed, 2 wrong command
line, 3 settings not valid and nothing started.`

// Main runs the program with the process's arguments and returns its exit code.
func (d *Daemon) Main() int {
	sink := logsink.New(os.Stdout)
	klog.SetOutput(sink)
	err := d.run(os.Args)
	klog.Flush()
	sink.Flush()
	return ExitCode(err)
}

func (d *Daemon) run(args []string) error {
	app := &cli.Command{
		Name: d.Name, Usage: d.Usage, Description: d.Description + exitCodes, Version: Version,
		UsageText: d.Name + " --settings FILE [--check]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE` (TOML)", Required: true, Sources: cli.EnvVars(SettingsEnvVar)},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit: 0 if they are valid, 3 if not"},
		},
		Action: d.start,
	}
	MakeStrict(app)
	return app.Run(context.Background(), args)
}

func (d *Daemon) start(ctx context.Context, c *cli.Command) error {
	run, verbosity, err := d.Load(c.String("settings"))
	if err != nil {
		return WithExit(ExitSettings, d.invalid(c.String("settings"), err))
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return nil
	}
	configureLog(verbosity)
	ctx, stop := lifecycle.StopContext(ctx)
	defer stop()
	klog.InfoS("Starting", "program", d.Name, "version", Version)
	if err := run(ctx); err != nil {
		return WithExit(ExitFailed, err)
	}
	klog.InfoS("Stopped", "program", d.Name)
	return nil
}

// invalid lists the problems of the settings, one a line.
func (d *Daemon) invalid(path string, err error) error {
	var e *errs.Error
	if errors.As(err, &e) {
		err = e.Err
	}
	return errors.Errorf("the settings in %s are not valid, nothing was started:\n%v\nexample: %s --help", path, err, d.Name)
}

// configureLog sends log lines to the output that Main has set, and not to
// standard error as klog does by default.
func configureLog(level int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	for name, value := range map[string]string{
		"v": strconv.Itoa(level), "logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
		"one_output": "true",
	} {
		// The flags are klog's own and the values valid.
		_ = flags.Set(name, value)
	}
}
