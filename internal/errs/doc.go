// Package errs defines the error type of the query tier.
//
// Every error contains the step and the peer at which it occurred, and whether the
// request is known not to have run.
package errs
