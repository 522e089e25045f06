package leafconn

// Error is a failed exchange.
type Error struct {
	// Step is where it failed.
	Step Step
	// Sent is true when a byte of the request may have reached the leaf.
	Sent bool
	// ConnectionLost is true when the leaf closed or reset the connection.
	ConnectionLost bool
	Err            error
}

// Step is a stage of an exchange.
type Step string

// Stages of an exchange.
const (
	// StepWait is the wait for one of the VM's connections.
	StepWait  Step = "connection-wait"
	StepDial  Step = "leaf-dial"
	StepWrite Step = "leaf-write"
	StepRead  Step = "leaf-read"
)

// Error implements the error interface.
func (e *Error) Error() string { return string(e.Step) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
