package route

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Route is where a ticket is handled.
type Route struct {
	Kind Kind
	// Address is the entry address of the issuing VM, set if Kind is Forward.
	Address string
	// Outcome is set if Kind is Answer.
	Outcome submit.Outcome
}

// Decide returns the route of a ticket that the VM self received. A ticket that self
// issued is handled locally even if its boot is another one or the VM list doesn't
// contain self, because the ledger handles both cases. A VM that is leaving still
// handles its tickets.
//
// forwarded means that another entry forwarded the ticket to self. It is not
// forwarded again: if an address was reassigned to another VM, two entries with
// different VM lists could otherwise forward a ticket in a loop.
func Decide(self topology.VMID, view topology.VMView, ticket submit.Ticket, forwarded bool) Route {
	if ticket.VM == self {
		return Route{Kind: Local}
	}
	if forwarded {
		return unknown(errs.ReasonNotOwner)
	}
	issuer, ok := view.Find(ticket.VM)
	if !ok || issuer.EntryAddress == "" {
		return unknown(errs.ReasonIssuerGone)
	}
	return Route{Kind: Forward, Address: issuer.EntryAddress}
}

func unknown(reason errs.Reason) Route {
	return Route{Kind: Answer, Outcome: submit.Outcome{Kind: submit.Unknown, Reason: reason}}
}
