// Package lifecycle handles the signals of a process, the reload of its settings
// and the wait for running requests in a graceful stop.
package lifecycle
