// Package entry is the I/O shell of medlar-entry. It answers callers over
// Connect, sends leaf requests to relays over frames, and holds the decisions
// of the packages admission, query, submit, quarantine and budget.
//
// One goroutine (viewBuilder) turns configuration, VM lists and leaf facts
// into an immutable view; requests read the current view without locks. Each
// query runs in one goroutine that feeds its query.Machine from a bounded
// channel.
package entry
