package submit

import (
	"strconv"
	"strings"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Ticket is the right to run one request at most once. Only the boot that
// issued it can say what became of the request.
type Ticket struct {
	VM   topology.VMID
	Boot topology.BootID
	// Seq numbers the tickets of a boot from 1.
	Seq uint64
	// IssuedAt is on the monotonic clock of the issuing boot.
	IssuedAt time.Duration
}

// String returns the form that ParseTicket reads: boot ID in hexadecimal,
// sequence number, issue time in nanoseconds and VM ID, joined by colons. The
// VM ID comes last because it may contain colons.
func (t Ticket) String() string {
	return strings.Join([]string{
		t.Boot.String(),
		strconv.FormatUint(t.Seq, 10),
		strconv.FormatInt(int64(t.IssuedAt), 10),
		string(t.VM),
	}, ticketSeparator)
}
