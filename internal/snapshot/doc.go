// Package snapshot chooses the index snapshot that queries pin, from the versions
// that each leaf last reported to serve.
package snapshot
