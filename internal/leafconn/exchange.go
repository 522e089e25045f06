package leafconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/bodyread"
)

const (
	// maxHeadBytes limits the status line and the headers of a reply, like those of a
	// caller's request.
	maxHeadBytes = 64 << 10
	// maxFramedBodyBytes limits the bytes of a body with its chunk headers, which may
	// be as long as the data of small chunks.
	maxFramedBodyBytes = 2*maxReplyBytes + maxHeadBytes
	// minStatus and maxStatus are the least and the greatest status that HTTP defines. net/http
	// accepts any three digits.
	minStatus = 100
	maxStatus = 599
	// maxStrayReplies limits the replies to other requests that are skipped.
	maxStrayReplies = 4
)

// ErrNotAdmitted is returned for a request that Request.Admit did not admit after it had
// waited for a connection.
var ErrNotAdmitted = errors.New("the request may not be sent any more")

var (
	// errTooManyStrays is returned when too many replies on a connection belong to
	// other requests.
	errTooManyStrays = errors.New("too many replies to other requests")
	// errNoStatus is returned for a reply whose status HTTP does not define. It is no reply, and
	// where it ends is not known.
	errNoStatus = errors.New("the status of the reply is none")
	// errUnnamedReply is returned for a reply that may belong to an earlier request.
	errUnnamedReply = errors.New("the reply names no request, but earlier ones on the connection did")
)

// Exchange sends a request and returns the leaf's reply. At the deadline, or
// when the context is cancelled, it closes the connection and returns an error.
// match returns to which request a reply with these headers belongs.
func (p *Pool) Exchange(ctx context.Context, r *Request, deadline time.Time, match func(http.Header) Match) (*Reply, error) {
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
	if r.Admit != nil && !r.Admit() {
		p.putConn(c)
		return nil, &Error{Step: StepWait, Err: ErrNotAdmitted}
	}
	stop := context.AfterFunc(ctx, c.close)
	reply, reusable, err := c.exchange(r, deadline, match)
	if stopped := stop(); err == nil && reusable && stopped {
		p.putConn(c)
	} else {
		c.close()
	}
	return reply, err
}

// exchange writes the request and reads replies until one belongs to it. The
// connection is reusable when no data of the request or the reply is left on
// it.
func (c *conn) exchange(r *Request, deadline time.Time, match func(http.Header) Match) (*Reply, bool, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, false, &Error{Step: StepWrite, ConnectionLost: true, Err: err}
	}
	written := make(chan error, 1)
	encoded := r.encode()
	if len(r.Body) < readBufferBytes {
		_, err := encoded.WriteTo(c.Conn)
		if err != nil {
			return nil, false, &Error{Step: StepWrite, Sent: true, ConnectionLost: !isTimeout(err), Err: err}
		}
		written <- nil
	} else {
		// A leaf may reply before it has read a long body.
		go func() {
			_, err := encoded.WriteTo(c.Conn)
			written <- err
		}()
	}
	c.limit.heardAt = time.Time{}
	reply, reusable, err := c.readReply(r, match)
	if err != nil {
		discarded := isTooLong(err)
		return nil, false, &Error{Step: StepRead, Sent: true, ConnectionLost: !discarded && !isTimeout(err), Discarded: discarded, HeardAt: c.limit.heardAt, Err: err}
	}
	if reply.endsWithConnection {
		if err := c.endWrite(written); errors.Is(err, syscall.ECONNRESET) {
			return nil, false, &Error{Step: StepRead, Sent: true, ConnectionLost: true, HeardAt: c.limit.heardAt, Err: errors.Wrap(err, "before the end of the reply")}
		}
		return reply, false, nil
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if reusable {
		c.markIdle(reply.idleTimeout)
	}
	return reply, reusable, nil
}

// readReply returns the first final reply to the request, and whether the connection
// can be reused. It can if the reply states where it ends, announces no close, and no
// byte follows it. A late copy of an earlier reply is skipped if it names its request;
// if it names none, it is an error on a connection whose leaf names them.
func (c *conn) readReply(r *Request, match func(http.Header) Match) (*Reply, bool, error) {
	for range maxStrayReplies {
		c.limit.beginHead(r.Memory)
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
			return nil, false, errors.Wrapf(errNoStatus, "%03d", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		matched := match(resp.Header)
		if matched == MatchUnnamed && c.namesRequests {
			return nil, false, errUnnamedReply
		}
		b := body{limit: r.maxBodyBytes(), memory: r.Memory, headBytes: c.limit.beginBody()}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if matched != MatchOther {
			reply, err := b.reply(r, resp)
			reply.endsWithConnection = !framed
			c.namesRequests = matched == MatchOwn
			return reply, framed && !resp.Close && c.reader.Buffered() == 0, err
		}
		if !framed || resp.Close {
			return nil, false, io.ErrUnexpectedEOF
		}
		resp.Header = nil
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, false, err
		}
	}
	return nil, false, errTooManyStrays
}

// endWrite ends the write of the request, after the reader has met the end of the data, and
// returns the error of the write.
//
// The kernel reports a reset once. If it reports it to the writer, with ECONNRESET, the
// reader gets the same end of data as after an orderly close. A reset that follows an
// orderly close is EPIPE to the writer, and a write that the leaf does not read is ended
// here by its deadline: the data before is complete in both cases.
func (c *conn) endWrite(written <-chan error) error {
	if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	return <-written
}

// isTooLong reports whether an error means that this VM does not keep the reply.
func isTooLong(err error) bool {
	return errors.Is(err, errTooLong) || errors.Is(err, bodyread.ErrTooLong) || errors.Is(err, errNoMemory)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
