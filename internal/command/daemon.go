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
	// Description is the long help text, with an example of the settings.
	Description string
	// Load reads and checks the settings file. It returns the log verbosity and a
	// function that runs the program until its context is cancelled.
	Load func(path string) (run func(ctx context.Context) error, verbosity int, err error)
}

// SettingsEnvVar is the environment variable with the path of the settings file,
// for command lines without --settings.
const SettingsEnvVar = "MEDLARSWITCH_CONFIG"

const helpFooter = `

Every key is required. SIGTERM or SIGINT stops the program gracefully.

Exit codes: 0 stopped gracefully or settings valid, 1 failed, 2 wrong command
line, 3 settings not valid and nothing started.`

// Main runs the program with the arguments of the process and returns the exit
// code.
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
		Name: d.Name, Usage: d.Usage, Description: d.Description + helpFooter, Version: Version,
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
		return WithExit(ExitSettings, d.settingsError(c.String("settings"), err))
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

// settingsError returns an error that lists the problems of the settings, one per
// line.
func (d *Daemon) settingsError(path string, err error) error {
	var e *errs.Error
	if errors.As(err, &e) {
		err = e.Err
	}
	return errors.Errorf("the settings in %s are not valid, nothing was started:\n%v\nexample: %s --help", path, err, d.Name)
}

// configureLog makes klog write to the output that Main has set instead of
// standard error, which is its default.
func configureLog(level int) {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	for name, value := range map[string]string{
		"v": strconv.Itoa(level), "logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
		"one_output": "true",
	} {
		// Set can't fail: klog defines these flags, and the values are valid.
		_ = flags.Set(name, value)
	}
}
