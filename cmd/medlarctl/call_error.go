package main

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// adviceByReason maps the reason of an error to the operator's next step. Reasons
// without an entry get general advice.
var adviceByReason = map[errs.Reason]string{
	errs.ReasonInvalid:     "correct the request; see 'medlarctl section get classes'",
	errs.ReasonNoConfig:    "the entry has no configuration yet; see 'medlarctl status'",
	errs.ReasonNoLeaf:      "no leaf takes work now; see 'medlarctl status'",
	errs.ReasonOverloaded:  "try again later",
	errs.ReasonQuarantined: "this request crashed upstreams; do not send it again unchanged",
	errs.ReasonPaused:      "try again",
	errs.ReasonResting:     "the leaves want no requests for some time; try again later",
	errs.ReasonLimited:     "the leaves state how many requests they take; try again later",
	errs.ReasonDraining:    "try another entry",
}

// Whether a request ran, as far as the caller can know.
const (
	mayHaveRun = "the request may have run"
	didNotRun  = "the request did not run"
)

// callError describes the error of a call to an entry: the step, the peer,
// whether the request ran, and the operator's next step. runStateWithoutReply is
// mayHaveRun or didNotRun, for the case that the entry did not reply.
func callError(err error, entry, runStateWithoutReply string) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return errors.Errorf("call of %s: %v", entry, err)
	}
	detail := errorDetail(ce)
	if detail == nil {
		return errors.Errorf("call of %s: %v\nstep: no answer from the entry; %s\nwhat to do: check --entry, the address of the setting \"callers\"; see 'medlarctl status'", entry, err, runStateWithoutReply)
	}
	runState := mayHaveRun
	if detail.GetNotRun() {
		runState = didNotRun
	}
	advice, ok := adviceByReason[errs.Reason(detail.GetReason())]
	if !ok {
		advice = "see 'medlarctl status' and 'medlarctl timeline'"
	}
	return errors.Errorf("%s\nstep: %s at %s; %s\nwhat to do: %s", ce.Message(), detail.GetStep(), detail.GetPeer(), runState, advice)
}

func errorDetail(ce *connect.Error) *medlarv1.ErrorDetail {
	for _, d := range ce.Details() {
		msg, err := d.Value()
		if err != nil {
			continue
		}
		if detail, ok := msg.(*medlarv1.ErrorDetail); ok {
			return detail
		}
	}
	return nil
}
