// Package platform is the client of the platform's object store and VM list.
// Every call has a timeout. Errors name the step and the peer, except ErrConflict.
package platform
