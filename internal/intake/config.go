package intake

import "time"

// DefaultMemory is the memory of the smallest VM, in bytes.
const DefaultMemory = 184 << 20

const (
	// Allowance is the memory that each caller may take besides the shared memory, in bytes. An
	// ordinary request has less than 2 KB in 25 header lines.
	Allowance = 12 << 10
	// Patience is how long a caller may at least take to send a request. A request of the
	// greatest length takes some 100 ms on a link of 20 Mbit/s.
	Patience = time.Second
)

// requestsPart is the part of the memory of a VM that requests of callers share, as a divisor. The
// rest is for connections, replies, the copies of the configuration and the garbage collector.
const requestsPart = 8

// Config limits what callers may take.
type Config struct {
	// Memory is the shared memory, in bytes.
	Memory int64
}

// ConfigFor returns the limits of a VM with the given memory, in bytes.
func ConfigFor(memory int64) Config { return Config{Memory: memory / requestsPart} }
