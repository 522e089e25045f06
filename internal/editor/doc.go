// Package editor carries out operators' edits of the service document against
// the platform's store; package configedit decides them.
package editor
