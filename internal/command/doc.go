// Package command holds what the command lines of the programs share.
package command
