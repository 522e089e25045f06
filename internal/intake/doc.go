// Package intake decides which connections and requests of callers a VM keeps.
//
// Load pattern: many callers at a time open connections and send requests that take much memory,
// such as long bodies and heads of many short lines. Most stop before the end and keep their
// connections open. Each request is within its limits; together they take more memory and
// descriptors than the VM has, and callers of ordinary requests find none left.
//
// The number of connections is limited, and each may take Allowance, which ordinary requests do
// not exceed. Memory beyond that is shared by all callers and limited in sum. When either is used
// up, callers that have not sent a whole request make room, the one that has been at it for
// longest first, unless it began less than Patience ago; a request that runs is never ended. What
// still does not fit is refused.
//
// The package has no clock, no I/O, no locks and no goroutines.
package intake
