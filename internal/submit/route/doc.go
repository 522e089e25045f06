// Package route decides which VM handles a ticket: this one, the VM that issued
// it, or none because the issuer is gone.
package route
