package submit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	ticketSeparator = ":"
	ticketFields    = 4
	// maxVMBytes is enough for any DNS name.
	maxVMBytes = 255
	// maxTicketBytes limits how much text the entry process logs for an invalid
	// ticket. The numbers and separators of a ticket take at most 58 bytes.
	maxTicketBytes = maxVMBytes + 58
)

// ParseTicket parses the form that String returns and accepts no other spelling of
// the same ticket. Its errors are of type *errs.Error and name the field. Their
// NotRun is false, since the request may have run under the ticket that the caller
// meant to send.
func ParseTicket(s string) (Ticket, error) {
	if len(s) > maxTicketBytes {
		return Ticket{}, malformedTicket("length", errors.Errorf("is %d bytes, at most %d are allowed", len(s), maxTicketBytes))
	}
	fields := strings.SplitN(s, ticketSeparator, ticketFields)
	if len(fields) != ticketFields {
		return Ticket{}, malformedTicket("field count", errors.Errorf("is %d instead of %d", len(fields), ticketFields))
	}
	boot, err := parseNumber(fields[0], 16, math.MaxUint64)
	if err != nil {
		return Ticket{}, malformedTicket("boot", err)
	}
	seq, err := parseNumber(fields[1], 10, math.MaxUint64)
	if err == nil && seq == 0 {
		err = errors.New("is zero, the first sequence number is 1")
	}
	if err != nil {
		return Ticket{}, malformedTicket("sequence", err)
	}
	issuedAt, err := parseNumber(fields[2], 10, math.MaxInt64)
	if err != nil {
		return Ticket{}, malformedTicket("issue time", err)
	}
	if err := checkVM(fields[3]); err != nil {
		return Ticket{}, malformedTicket("VM", err)
	}
	return Ticket{
		VM:       topology.VMID(fields[3]),
		Boot:     topology.BootID(boot),
		Seq:      seq,
		IssuedAt: time.Duration(issuedAt),
	}, nil
}

// parseNumber rejects leading zeros and upper-case digits, so that each ticket has
// exactly one spelling.
func parseNumber(s string, base int, limit uint64) (uint64, error) {
	n, err := strconv.ParseUint(s, base, 64)
	if err != nil {
		return 0, errors.Wrap(err, "is not a number")
	}
	if n > limit {
		return 0, errors.Errorf("is above %d", limit)
	}
	if strconv.FormatUint(n, base) != s {
		return 0, errors.Errorf("%q is not in canonical form", s)
	}
	return n, nil
}

func checkVM(s string) error {
	if s == "" {
		return errors.New("is empty")
	}
	if len(s) > maxVMBytes {
		return errors.Errorf("has %d bytes, at most %d are allowed", len(s), maxVMBytes)
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return errors.Errorf("has byte %#x, only printable ASCII without space is allowed", s[i])
		}
	}
	return nil
}

func malformedTicket(field string, cause error) *errs.Error {
	cause = errors.WithMessagef(cause, "%s of ticket", field)
	return errs.Wrap(cause, errs.StepTicket, "caller", errs.ReasonInvalid, false)
}
