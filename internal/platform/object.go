package platform

import "github.com/pkg/errors"

// Object is a value in the store with its version.
type Object struct {
	Value   []byte
	Version uint64
}

// ErrConflict means that a conditional write found another version and was
// not applied.
var ErrConflict = errors.New("object has another version")

// ErrRefused means that the store does not take a write, for its size or the
// team's credentials, and that it was not applied.
var ErrRefused = errors.New("write refused")
