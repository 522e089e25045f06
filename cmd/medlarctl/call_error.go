package main

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/internal/errs"
)

// advice says what to do about a reason, where there is something to do.
var advice = map[errs.Reason]string{
	errs.ReasonInvalid:     "correct the request; see 'medlarctl section get classes'",
	errs.ReasonNoConfig:    "the entry has no configuration yet; see 'medlarctl status'",
	errs.ReasonNoLeaf:      "no leaf takes work now; see 'medlarctl status'",
	errs.ReasonOverloaded:  "try again later",
	errs.ReasonQuarantined: "this request crashed upstreams; do not send it again unchanged",
	errs.ReasonPaused:      "try again",
	errs.ReasonDraining:    "try another entry",
}

// What is known of a request.
const (
	mayHaveRun = "the request may have run"
	didNotRun  = "the request did not run"
)

// callError explains the error of a call to an entry: the step, the peer,
// whether the request ran, and what to do. without says what is known of the
// request when the entry did not answer.
func callError(err error, entry, without string) error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return errors.Errorf("call of %s: %v", entry, err)
	}
	detail := errorDetail(ce)
	if detail == nil {
		return errors.Errorf("call of %s: %v\nstep: no answer from the entry; %s\nwhat to do: check --entry, the address of the setting \"callers\"; see 'medlarctl status'", entry, err, without)
	}
	run := mayHaveRun
	if detail.GetNotRun() {
		run = didNotRun
	}
	hint, ok := advice[errs.Reason(detail.GetReason())]
	if !ok {
		hint = "see 'medlarctl status' and 'medlarctl timeline'"
	}
	return errors.Errorf("%s\nstep: %s at %s; %s\nwhat to do: %s", ce.Message(), detail.GetStep(), detail.GetPeer(), run, hint)
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
