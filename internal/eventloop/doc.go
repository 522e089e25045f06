// Package eventloop runs calls in virtual time, in the order of their times. It
// is for tests and the policy bench: no clock, no goroutines, and the same calls
// give the same run.
package eventloop
