package leafconn

import "io"

// Sink takes the body of a reply that need not be kept as a whole.
type Sink interface {
	io.Writer
	// Kept returns the memory that the sink keeps, in bytes.
	Kept() int64
}
