package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// DefaultLifetime is longer than a caller retries after it got no answer, and
// limits how long an unused ticket occupies a record.
const DefaultLifetime = 10 * time.Minute

// Config holds the identity and the limits of a Ledger.
type Config struct {
	// VM must be a valid VM field of a Ticket.
	VM topology.VMID
	// Boot must be unique to each run of the process on a VM, since a new run
	// doesn't know which tickets an earlier one has dispatched.
	Boot topology.BootID
	// Lifetime is how long after its issue a ticket may be submitted for the
	// first time. Zero means DefaultLifetime.
	Lifetime time.Duration
	// MaxTickets limits the number of records. With zero, no ticket is issued.
	MaxTickets int
	// MaxResultBytes limits the size of the result that a record stores. The
	// results of all records take at most MaxTickets times MaxResultBytes.
	MaxResultBytes int
}
