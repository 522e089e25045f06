package gateway

import (
	"bytes"
	"net/http"
)

// answerBuffer is the http.ResponseWriter that holds the answer to a query of
// another VM.
type answerBuffer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func newAnswerBuffer() *answerBuffer { return &answerBuffer{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (b *answerBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter. It ignores all but the first
// status.
func (b *answerBuffer) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter.
func (b *answerBuffer) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(p)
}
