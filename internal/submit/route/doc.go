// Package route decides which VM handles a ticket: this one, the VM that issued it,
// or none if the issuer no longer exists.
package route
