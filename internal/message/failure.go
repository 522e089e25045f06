package message

import "github.com/medlarswitch/medlarswitch/internal/errs"

// Failure carries an errs.Error between processes.
type Failure struct {
	Step   errs.Step   `msgpack:"s"`
	Peer   string      `msgpack:"p"`
	Reason errs.Reason `msgpack:"r"`
	// NotRun is true only if the request definitely did not start.
	NotRun bool   `msgpack:"n"`
	Text   string `msgpack:"t"`
}

// NewFailure converts an error to a Failure. An error that is not an errs.Error
// gets the given step and peer.
func NewFailure(err error, step errs.Step, peer string) *Failure {
	e := errs.From(err, step, peer)
	return &Failure{Step: e.Step, Peer: e.Peer, Reason: e.Reason, NotRun: e.NotRun, Text: e.Err.Error()}
}

// Err converts the failure back to an error.
func (f *Failure) Err() *errs.Error {
	return errs.New(f.Step, f.Peer, f.Reason, f.NotRun, "%s", f.Text)
}
