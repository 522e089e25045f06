package leafconn

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
)

// Request is one request to a leaf.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Lines are encoded header lines that come before those of Header. The requests of a call
	// share them and the body, which must not change.
	Lines  []byte
	Header http.Header
	Body   []byte
	// HasBody is true when the caller sent a body, even an empty one.
	HasBody bool
	// Admit, if set, is called just before the request is sent, once there is a connection to
	// send on. It may replace the header. If it returns false, nothing is sent and the
	// exchange fails with ErrNotAdmitted.
	Admit func() bool
	// OnHead, if set, is called with the status and the headers of the reply, before its
	// body is read. If it returns a sink, that gets the body, and the reply has neither
	// headers nor a body; it must not keep the headers then.
	OnHead func(status int, header http.Header) Sink
	// MaxBodyBytes limits the body of the reply; 0 means maxReplyBytes, which no reply may
	// exceed.
	MaxBodyBytes int64
	// Memory is the memory for the reply.
	Memory *Reservation
}

// encode returns the request in HTTP/1.1 wire format. Long lines and bodies are not copied.
func (r *Request) encode() net.Buffers {
	var b bytes.Buffer
	b.Grow(firstLineBytes)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if len(r.Lines)+len(r.Body) < readBufferBytes {
		b.Write(r.Lines)
		r.encodeEnd(&b)
		b.Write(r.Body)
		return net.Buffers{b.Bytes()}
	}
	var end bytes.Buffer
	r.encodeEnd(&end)
	return net.Buffers{b.Bytes(), r.Lines, end.Bytes(), r.Body}
}

// firstLineBytes is room for the first lines of a usual request and its other headers.
const firstLineBytes = 512

// encodeEnd encodes the end of the head.
func (r *Request) encodeEnd(b *bytes.Buffer) {
	// Writes to a bytes.Buffer return no errors.
	_ = r.Header.Write(b)
	if r.HasBody {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
}
