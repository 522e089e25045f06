// Package settings reads the TOML settings files of the processes. It reports every
// fault with the file, the line, the key and what is expected.
package settings
