package leafconn

import "net/http"

// Reply is a leaf's complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}
