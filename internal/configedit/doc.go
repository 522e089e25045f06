// Package configedit decides one edit of the service document: whether it is
// accepted on top of a generation, and what became of it when the conditional
// update of the manifest failed or stayed without an answer. It has no clock
// and no I/O.
package configedit
