// Package admission decides which queries an entry process runs now, which wait
// and which are refused.
//
// The query with the lowest priority number is admitted first, and within a
// priority the one with the earliest deadline. A query that can no longer
// complete before its deadline is refused at once, so that it does not occupy a
// slot for an answer that comes too late.
//
// Two rules keep lower priorities from starving. Every lowerPriorityInterval-th
// admission for which several priorities wait goes to the lower priority whose
// last admission is the longest ago. When a full queue sheds a query, each
// priority keeps at least 1/reservedDivisor of the places, provided that there
// are enough places.
package admission
