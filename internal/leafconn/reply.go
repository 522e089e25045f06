package leafconn

import (
	"net/http"
	"time"
)

// Reply is a leaf's complete reply. It has no headers and no body if a sink got the body.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// endsWithConnection is true when only the end of the connection shows the end of the
	// body.
	endsWithConnection bool
	// idleTimeout is how long the leaf states that it keeps the idle connection, or 0.
	idleTimeout time.Duration
}
