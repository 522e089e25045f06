package gateway

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"
)

const (
	// answerTimeout is how long the write of a short answer may take. A caller that reads takes
	// its answer within a round trip, or some retransmissions.
	answerTimeout = 10 * time.Second
	// minAnswerRate is the rate at which a caller has to read a long answer, in bytes a second.
	minAnswerRate = 64 << 10
)

// startedWriter notes whether an answer was started. It limits the time to write it, and announces
// the close of the connection if the VM has begun to stop by then: a caller that does not know of it
// may send its next request while net/http closes the connection.
type startedWriter struct {
	http.ResponseWriter
	draining func() bool
	started  bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(p []byte) (int, error) {
	w.start()
	return w.ResponseWriter.Write(p)
}

func (w *startedWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.draining() {
		w.Header().Set("Connection", "close")
	}
	limit := answerTimeout
	if length, err := strconv.ParseInt(w.Header().Get("Content-Length"), 10, 64); err == nil {
		limit += time.Duration(length) * time.Second / minAnswerRate
	}
	// net/http ends the deadline with the request.
	if err := http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(limit)); err != nil {
		klog.InfoS("Failed to limit the time to write an answer", "err", err)
	}
}

// Unwrap returns the writer for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
