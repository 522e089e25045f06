package message

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Failure carries an errs.Error between processes.
type Failure struct {
	Step   errs.Step   `msgpack:"s"`
	Peer   string      `msgpack:"p"`
	Reason errs.Reason `msgpack:"r"`
	// NotRun is true only when the request is known not to have started.
	NotRun bool   `msgpack:"n"`
	Text   string `msgpack:"t"`
}

// NewFailure converts an error for the wire.
func NewFailure(err error, step errs.Step, peer string) *Failure {
	e := errs.From(err, step, peer)
	return &Failure{Step: e.Step, Peer: e.Peer, Reason: e.Reason, NotRun: e.NotRun, Text: e.Err.Error()}
}

// Err converts the failure back.
func (f *Failure) Err() *errs.Error {
	return errs.New(f.Step, f.Peer, f.Reason, f.NotRun, "%s", f.Text)
}
