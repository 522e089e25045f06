package errs

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is a failure with the step and the peer at which it occurred.
type Error struct {
	Step Step
	// Peer is the process, leaf or address at which the error occurred.
	Peer   string
	Reason Reason
	// NotRun is true only when the request is known not to have started at
	// an upstream. False means that it may have run.
	NotRun bool
	// Crash is true if the connection to the leaf was lost while the request ran.
	// The request may have crashed the leaf.
	Crash bool
	Err   error
}

// New returns an Error whose cause has the formatted message.
func New(step Step, peer string, reason Reason, notRun bool, format string, args ...any) *Error {
	return &Error{Step: step, Peer: peer, Reason: reason, NotRun: notRun, Err: errors.Errorf(format, args...)}
}

// Wrap returns an Error with a cause, which must not be nil.
func Wrap(err error, step Step, peer string, reason Reason, notRun bool) *Error {
	return &Error{Step: step, Peer: peer, Reason: reason, NotRun: notRun, Err: err}
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s at %s: %s: %v", e.Step, e.Peer, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns the Error in err's chain. If there is none, it wraps err as an
// internal error of a request that may have run.
func From(err error, step Step, peer string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, step, peer, ReasonInternal, false)
}
