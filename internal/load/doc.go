// Package load drives requests at a steady rate and reports how they were
// answered. It is used by medlar-load.
package load
