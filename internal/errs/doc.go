// Package errs defines the error type that travels through the query tier.
//
// Every error names the step at which it arose and the peer it arose at, and
// says whether the request is known not to have run.
package errs
