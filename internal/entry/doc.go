// Package entry implements the I/O of medlar-entry. It serves callers over
// Connect, sends leaf requests to relays over frames, and leaves decisions to the
// packages admission, query, submit, quarantine and budget.
//
// One goroutine (viewBuilder) builds an immutable view from the configuration, VM
// lists and the relays' reports on leaves; requests read the current view without
// locks. Each query runs in one goroutine that feeds its query.Machine from a
// bounded channel.
package entry
