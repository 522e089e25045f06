// Package admission decides which queries an entry process runs now, which
// wait and which are refused.
//
// A lower priority number goes first, and within a priority the earliest
// deadline. An item that can no longer finish before its deadline is refused
// at once, so that no slot is spent on an answer that comes too late.
//
// Two rules keep lower classes from starving. Every lowerTurn-th admission for
// which several priorities wait goes to the lower priority that was admitted
// longest ago. And when a full queue sheds its worst item, a priority keeps at
// least 1 in keptShare of the places, as long as there are enough places.
package admission
