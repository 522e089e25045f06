package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// exitError is an error with the exit code of the process.
type exitError struct {
	error
	code int
}

// Unwrap returns the cause.
func (e exitError) Unwrap() error { return e.error }

// WithExit wraps an error with the exit code of the process.
func WithExit(code int, err error) error { return exitError{error: err, code: code} }

// ListenError wraps an error of net.Listen with the key of the setting that
// contains the address.
func ListenError(err error, key string) error {
	return errors.WithMessagef(err, "setting %q: expected an address of this VM that no other process uses", key)
}

// ExitCode prints an error to standard error and returns the exit code of the
// process.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	// The CLI library returns exit code 3 for an unknown help topic.
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return ExitUsage
	}
	return ExitFailed
}
