package leafconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxReplyBytes limits the body of a reply.
	maxReplyBytes = 8 << 20
	// maxStrayReplies limits the replies to other requests that are skipped.
	maxStrayReplies = 4
)

// errTooManyStrays is returned when too many replies on a connection belong to
// other requests.
var errTooManyStrays = errors.New("too many replies to other requests")

// Exchange sends a request and returns the leaf's reply. At the deadline, or
// when the context is cancelled, it closes the connection and returns an error.
// matches reports whether a reply with these headers belongs to the request.
func (p *Pool) Exchange(ctx context.Context, r *Request, deadline time.Time, matches func(http.Header) bool) (*Reply, error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := p.acquireSlot(waitCtx); err != nil {
		return nil, &Error{Step: StepWait, Err: err}
	}
	defer p.releaseSlot()
	c, err := p.getConn(waitCtx)
	if err != nil {
		return nil, &Error{Step: StepDial, Err: err}
	}
	if err := ctx.Err(); err != nil {
		p.putConn(c)
		return nil, &Error{Step: StepDial, Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	reply, reusable, err := c.exchange(r, deadline, matches)
	if stopped := stop(); err == nil && reusable && stopped {
		p.putConn(c)
	} else {
		c.close()
	}
	return reply, err
}

// exchange writes the request and reads replies until one matches. The
// connection is reusable when no data of the request or the reply is left on
// it.
func (c *conn) exchange(r *Request, deadline time.Time, matches func(http.Header) bool) (*Reply, bool, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, false, &Error{Step: StepWrite, ConnectionLost: true, Err: err}
	}
	if r.OnSend != nil {
		r.OnSend()
	}
	written := make(chan error, 1)
	encoded := r.encode()
	if len(r.Body) < readBufferBytes {
		_, err := c.Write(encoded)
		if err != nil {
			return nil, false, &Error{Step: StepWrite, Sent: true, ConnectionLost: !isTimeout(err), Err: err}
		}
		written <- nil
	} else {
		// A leaf may reply before it has read a long body.
		go func() {
			_, err := c.Write(encoded)
			written <- err
		}()
	}
	reply, reusable, err := c.readReply(r.Method, matches)
	if err != nil {
		return nil, false, &Error{Step: StepRead, Sent: true, ConnectionLost: !isTimeout(err), Err: err}
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if reusable {
		c.markIdle(reply.Header)
	}
	return reply, reusable, nil
}

// readReply returns the first final reply that matches, and whether the
// connection can be reused.
func (c *conn) readReply(method string, matches func(http.Header) bool) (*Reply, bool, error) {
	for range maxStrayReplies {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, false, err
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if matches(resp.Header) {
			reusable := framed && !resp.Close && c.reader.Buffered() == 0
			return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
		}
		if !framed || resp.Close {
			return nil, false, io.ErrUnexpectedEOF
		}
	}
	return nil, false, errTooManyStrays
}

func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > maxReplyBytes {
		return nil, errors.Errorf("the reply has %d bytes, more than %d", resp.ContentLength, maxReplyBytes)
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = errors.Errorf("the reply has more than %d bytes", maxReplyBytes)
	}
	return body, err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
