package intake

import "time"

// DefaultMemory, in bytes, and DefaultDescriptors are those of the smallest VM.
const (
	DefaultMemory      = 184 << 20
	DefaultDescriptors = 4100
)

const (
	// Allowance is the memory that each caller may take besides the shared memory, in bytes. An
	// ordinary request has less than 2 KB in 25 header lines.
	Allowance = 12 << 10
	// ConnectionMemory is the memory of a connection with its allowance, in bytes: the stack
	// of its goroutine and two buffers of 4 KB.
	ConnectionMemory = 12<<10 + Allowance
	// Patience is how long a caller may at least take to send a request. A request of the
	// greatest length takes some 100 ms on a link of 20 Mbit/s.
	Patience = time.Second
)

// reservedDescriptors are those of files. Of the others, a third is for callers and half for the
// leaf requests that run; the rest is for idle connections to leaves and for other VMs.
const (
	reservedDescriptors = 200
	connectionsDivisor  = 3
	leafRequestsDivisor = 2
)

// Of the memory of a VM, a sixth is for connections of callers and an eighth is shared by their
// requests while they arrive and run. The rest is for runs, replies, the copies of the configuration
// and the garbage collector.
const (
	connectionMemoryDivisor = 6
	requestsDivisor         = 8
)

// Config limits what callers may take.
type Config struct {
	// Connections is the number of connections that may be open.
	Connections int
	// LeafRequests is the number of leaf requests that may run at a time.
	LeafRequests int
	// Memory is the shared memory, in bytes.
	Memory int64
}

// ConfigFor returns the limits of a VM with the given memory, in bytes, and descriptors.
func ConfigFor(memory int64, descriptors int) Config {
	byMemory := memory / connectionMemoryDivisor / ConnectionMemory
	sockets := max(descriptors-reservedDescriptors, 0)
	return Config{
		Connections:  max(min(int(byMemory), sockets/connectionsDivisor), 1),
		LeafRequests: max(sockets/leafRequestsDivisor, 1),
		Memory:       memory / requestsDivisor,
	}
}
