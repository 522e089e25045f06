package gateway

import (
	"bytes"
	"net/http"

	"github.com/medlarswitch/medlarswitch/internal/leafconn"
)

const (
	// headByteFactor is the memory that each byte of a head takes: it is parsed and encoded for
	// the leaves.
	headByteFactor = 2
	// bodyByteFactor is the memory that each byte of a body's buffer takes: while it grows, the
	// previous one is kept, and a delegated query is encoded.
	bodyByteFactor = 2
)

// partMemory returns the memory that a part of a head takes.
func partMemory(part []byte) int64 {
	return headByteFactor*int64(len(part)) + leafconn.LineMemory*int64(bytes.Count(part, []byte("\n")))
}

// headMemory returns the memory that a parsed head takes.
func headMemory(r *http.Request) int64 {
	return headerMemory(r.Header) + headByteFactor*int64(len(r.RequestURI)+len(r.Host))
}

// headerMemory returns the memory that parsed header lines take.
func headerMemory(h http.Header) (memory int64) {
	for name, values := range h {
		for _, value := range values {
			memory += leafconn.LineMemory + headByteFactor*int64(len(name)+len(value))
		}
	}
	return memory
}
