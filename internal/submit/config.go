package submit

import (
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// DefaultLifetime outlasts the retries of a caller that lost an answer, and
// bounds how long the place of an unused ticket stays reserved.
const DefaultLifetime = 10 * time.Minute

// Config holds the identity and the limits of a Ledger.
type Config struct {
	// VM must be a valid VM field of a Ticket.
	VM topology.VMID
	// Boot must differ between any two runs of the process on one VM, since a
	// new run does not know which tickets an earlier one has dispatched.
	Boot topology.BootID
	// Lifetime is how long after its issue a ticket may be submitted for the
	// first time; zero means DefaultLifetime.
	Lifetime time.Duration
	// MaxTickets bounds the number of records; with zero no ticket is issued.
	MaxTickets int
	// MaxResultBytes bounds the result that a record keeps. The results of all
	// records take at most MaxTickets times MaxResultBytes.
	MaxResultBytes int
}
