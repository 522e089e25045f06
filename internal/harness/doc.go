// Package harness runs the system's processes and the stand-ins on loopback
// addresses. It is used by the demonstration, by load measurements and by tests
// with real processes, not in production.
package harness
