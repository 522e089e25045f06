// Package command implements the parts of the command line that the programs have
// in common: usage errors, exit codes and the start of daemons.
package command
