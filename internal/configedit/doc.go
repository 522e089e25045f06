// Package configedit decides whether an edit of the service document is accepted
// on top of a generation, and determines its outcome when the conditional update
// of the manifest failed or got no reply. It has no clock and no I/O.
package configedit
