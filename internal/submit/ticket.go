package submit

import (
	"strconv"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Ticket permits one request to run at most once. Only the boot that issued it
// knows the outcome of the request.
type Ticket struct {
	VM   topology.VMID
	Boot topology.BootID
	// Seq is the number of the ticket within its boot, from 1.
	Seq uint64
	// IssuedAt is the issue time on the monotonic clock of the issuing boot.
	IssuedAt time.Duration
}

// String returns the form that ParseTicket parses: boot ID in hexadecimal,
// sequence number, issue time in nanoseconds and VM ID, separated by colons. The
// VM ID comes last because it may contain colons.
func (t Ticket) String() string {
	return strings.Join([]string{
		t.Boot.String(),
		strconv.FormatUint(t.Seq, 10),
		strconv.FormatInt(int64(t.IssuedAt), 10),
		string(t.VM),
	}, ticketSeparator)
}
