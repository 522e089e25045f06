// Package tomldoc parses TOML into tables that record the line of each key. It
// collects all faults of a document instead of stopping at the first. The typed
// getters report a fault with the key, its line and what is expected. Keys that
// no getter has read are reported as unknown.
package tomldoc
