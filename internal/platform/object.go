package platform

import "github.com/pkg/errors"

// Object is a value in the store with its version.
type Object struct {
	Value   []byte
	Version uint64
}

// ErrConflict is returned for a conditional write that was not applied, because
// the object has another version.
var ErrConflict = errors.New("object has another version")

// ErrRefused is returned for a write that the store refused, because of its size
// or the team's credentials. It was not applied.
var ErrRefused = errors.New("write refused")
