// Package logsink writes the log lines of a process to its standard output
// without ever blocking the process.
//
// Lines wait in a bounded ring for one writing goroutine. Their number and bytes
// per second are bounded; lines of failures may use a reserve that lines of
// success may not. Lines that are left out are counted, and the counts are
// logged.
package logsink
