// Package snapshot chooses the index snapshot that queries pin, from what each
// leaf last reported to serve.
package snapshot
