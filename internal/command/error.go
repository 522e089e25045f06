package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	error
	code int
}

// Unwrap returns the cause.
func (e exitError) Unwrap() error { return e.error }

// WithExit gives an error an exit code.
func WithExit(code int, err error) error { return exitError{error: err, code: code} }

// ListenError adds to an error of net.Listen the setting that holds the address.
func ListenError(err error, key string) error {
	return errors.WithMessagef(err, "setting %q: expected an address of this VM that no other process uses", key)
}

// ExitCode prints an error and returns the exit code that it leads to.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	// The library gives exit code 3 to an unknown help topic.
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return ExitUsage
	}
	return ExitFailed
}
