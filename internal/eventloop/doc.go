// Package eventloop runs scheduled calls in virtual time. It is used by tests and by
// the policy benchmark. It uses no clock and no goroutines, so that the same calls
// always produce the same run.
package eventloop
