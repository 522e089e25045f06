// Package harness runs the system's processes and the stand-ins on loopback
// addresses, for the demonstration and for tests with real processes. It is
// test scaffolding.
package harness
