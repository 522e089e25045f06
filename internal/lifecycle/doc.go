// Package lifecycle carries a process from start to a graceful stop.
package lifecycle
