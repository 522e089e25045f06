// Package logsink writes the log lines of a process to its standard output
// without ever blocking the process.
//
// Lines wait in a bounded queue for one writer goroutine. Their number and
// bytes per second are limited; lines that report failures may use a reserve
// that other lines may not. Omitted lines are counted, and the counts are
// logged.
package logsink
