// Package settings reads the TOML settings of the processes. Every fault is
// reported with the file, the line, the key and what is expected.
package settings
