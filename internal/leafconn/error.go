package leafconn

import "time"

// Error describes a failed exchange.
type Error struct {
	// Step is the step that failed.
	Step Step
	// Sent is true when a byte of the request may have reached the leaf.
	Sent bool
	// ConnectionLost is true when the exchange failed other than by a timeout,
	// as when the leaf closed or reset the connection.
	ConnectionLost bool
	// Discarded is true when this VM ended the exchange since the reply is too long, or since
	// the replies of its route take too much memory.
	Discarded bool
	// HeardAt is when the last byte of a reply to the request arrived, or zero if none did.
	HeardAt time.Time
	Err     error
}

// Step is a step of an exchange.
type Step string

// Steps of an exchange.
const (
	// StepWait is the wait for one of this VM's connections to the leaf.
	StepWait  Step = "connection-wait"
	StepDial  Step = "leaf-dial"
	StepWrite Step = "leaf-write"
	StepRead  Step = "leaf-read"
)

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Step) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
