// Package editor applies operators' edits of the service document to the
// platform's store. Package configedit decides whether an edit is accepted.
package editor
