// Package load sends requests at a constant rate and reports their latency,
// coverage and errors. medlar-load uses it.
package load
