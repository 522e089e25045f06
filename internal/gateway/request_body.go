package gateway

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/medlarswitch/medlarswitch/internal/bodyread"
)

// maxBodyBytes limits the body of a request where the configuration sets no limit.
const maxBodyBytes = 1 << 20

// errNoCallerMemory is the reason to refuse a request that does not fit beside those of other
// callers.
var errNoCallerMemory = errors.New("the requests of callers take too much memory")

// errNoRunRoom is the reason to refuse a request while others that run take all memory or
// connections to leaves that they may.
var errNoRunRoom = errors.New("too many requests run")

// bodyError says why a body was not read, and how its request is refused.
type bodyError struct {
	error
	status     int
	retryAfter time.Duration
}

// readBody reads a request's body up to a limit and a time, or the end of a stop. net/http
// determines its end from the request's framing.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *bodyError) {
	conn := callerConnOf(r.Context())
	if r.ContentLength == 0 {
		conn.markRunning()
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		return nil, &bodyError{errors.Wrap(err, "limit the time to read the body"), http.StatusInternalServerError, 0}
	}
	interrupted := make(chan struct{})
	resume := context.AfterFunc(n.stopping.ended, func() {
		defer close(interrupted)
		// An error means that the connection is closed, which ends the read too.
		_ = control.SetReadDeadline(time.Now())
	})
	if limit <= 0 {
		limit = maxBodyBytes
	}
	conn.beginBody()
	body, err := bodyread.ReadAll(r.Body, r.ContentLength, limit, func(size int64) error {
		if !conn.takeBody(bodyByteFactor * size) {
			return errNoCallerMemory
		}
		return nil
	})
	evicted := conn.endBody()
	// Trailers are not forwarded.
	r.Trailer = nil
	if !resume() {
		<-interrupted
	}
	if err != nil {
		return nil, bodyErrorOf(err, evicted, limit)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, &bodyError{errors.Wrap(err, "end the limit of the time to read the body"), http.StatusInternalServerError, 0}
	}
	conn.markRunning()
	return body, nil
}

// bodyErrorOf returns how a request is refused whose body was not read.
func bodyErrorOf(err error, evicted bool, limit int64) *bodyError {
	switch {
	case errors.Is(err, bodyread.ErrTooLong):
		return &bodyError{errors.Errorf("the body has more than %d bytes", limit), http.StatusRequestEntityTooLarge, 0}
	case errors.Is(err, errNoCallerMemory):
		return &bodyError{err, http.StatusServiceUnavailable, otherVMRetryAfter}
	case evicted:
		return &bodyError{errors.New("the body did not arrive before other callers needed its memory"), http.StatusServiceUnavailable, otherVMRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &bodyError{errors.New("the body did not arrive in the request's time"), http.StatusRequestTimeout, 0}
	}
	return &bodyError{errors.Wrap(err, "read the body"), http.StatusBadRequest, 0}
}

// refuseUnread refuses a request whose body has not been read to its end. net/http reads on after
// the answer, which it would do for as long as the caller keeps the connection open.
func (n *Node) refuseUnread(w http.ResponseWriter, r *http.Request, info RequestInfo, status int, retryAfter time.Duration, reason string) {
	if r.ContentLength != 0 {
		// With this header net/http sends the answer before it reads on.
		w.Header().Set("Connection", "close")
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
			klog.InfoS("Failed to limit the wait for the rest of a body", "request", info.RequestID, "err", err)
		}
	}
	n.refuse(w, info, status, retryAfter, reason)
}
