package errs

import (
	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// codeByReason maps reasons to Connect codes. All other reasons are mapped to
// Unavailable.
var codeByReason = map[Reason]connect.Code{
	ReasonInternal:   connect.CodeInternal,
	ReasonInvalid:    connect.CodeInvalidArgument,
	ReasonOverloaded: connect.CodeResourceExhausted,
	ReasonDeadline:   connect.CodeDeadlineExceeded,
	ReasonStartBy:    connect.CodeDeadlineExceeded,
	ReasonCancelled:  connect.CodeCanceled,
}

// ToConnect converts an error to a Connect error for a caller and attaches an
// ErrorDetail.
func ToConnect(err error, step Step, peer string) *connect.Error {
	e := From(err, step, peer)
	code, ok := codeByReason[e.Reason]
	if !ok {
		code = connect.CodeUnavailable
	}
	out := connect.NewError(code, e)
	detail, detailErr := connect.NewErrorDetail(&medlarv1.ErrorDetail{
		Step: string(e.Step), Peer: e.Peer, NotRun: e.NotRun, Reason: string(e.Reason),
	})
	if detailErr == nil {
		out.AddDetail(detail)
	}
	return out
}

// FromConnect converts the error of a Connect call to a peer. If the peer attached
// no ErrorDetail, the request may have run.
func FromConnect(err error, step Step, peer string) *Error {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return Wrap(err, step, peer, ReasonConnectionLost, false)
	}
	for _, d := range ce.Details() {
		msg, valueErr := d.Value()
		if valueErr != nil {
			continue
		}
		if detail, ok := msg.(*medlarv1.ErrorDetail); ok {
			return Wrap(err, step, peer, Reason(detail.GetReason()), detail.GetNotRun())
		}
	}
	if ce.Code() == connect.CodeDeadlineExceeded {
		return Wrap(err, step, peer, ReasonDeadline, false)
	}
	return Wrap(err, step, peer, ReasonConnectionLost, false)
}
