package route

import (
	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/submit"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Route says where a ticket is handled.
type Route struct {
	Kind Kind
	// Address is the entry address of the issuing VM, with Forward.
	Address string
	// Outcome is set with Answer.
	Outcome submit.Outcome
}

// Decide routes a ticket at the VM self. A ticket of self stays here even if
// its boot is another one or the list does not name self, because the ledger
// answers for both. A VM that is leaving still answers for its tickets.
//
// forwarded tells that another entry has sent the ticket here. It is not
// forwarded again: an address that has passed to another VM would otherwise
// let two entries with different lists send a ticket in a circle.
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
