package wire

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
)

const (
	pingInterval  = time.Second
	idleTimeout   = 3 * time.Second
	writeTimeout  = 3 * time.Second
	sendQueueSize = 4096
	bufferBytes   = 64 << 10
)

// Handler handles the messages of a peer that are not replies. It runs in the
// goroutine that reads from the connection and must not block.
type Handler func(p *Peer, env *Envelope)

// Peer is one end of a connection. All methods are safe for concurrent use.
type Peer struct {
	// Remote is the Hello of the other end. It is set before the handler is first
	// called.
	Remote Hello

	conn    net.Conn
	clock   *timeline.Clock
	handler Handler
	stats   *Stats
	// encoder is used only by writeLoop.
	encoder *frameEncoder

	nextID      atomic.Uint64
	sendQ       chan *outgoing
	queuedBytes atomic.Int64
	spaceFreed  chan struct{} // capacity 1
	mu          sync.Mutex
	pending     map[uint64]*pendingCall
	err         error
	closed      chan struct{}
}

// NewPeer exchanges Hello messages and starts the goroutines that read from and
// write to the connection. It closes conn when the exchange fails.
func NewPeer(ctx context.Context, conn net.Conn, self Hello, opts Options) (*Peer, error) {
	p := &Peer{
		conn: conn, clock: opts.Clock, handler: opts.Handler, stats: opts.Stats,
		encoder:    newFrameEncoder(),
		sendQ:      make(chan *outgoing, sendQueueSize),
		spaceFreed: make(chan struct{}, 1),
		pending:    make(map[uint64]*pendingCall),
		closed:     make(chan struct{}),
	}
	// A random first ID prevents a reply from an earlier connection from matching
	// a call.
	p.nextID.Store(rand.Uint64() >> 1)
	reader := &idleTimeoutReader{conn: conn, fixedDeadline: handshakeDeadline(ctx)}
	r := bufio.NewReaderSize(reader, bufferBytes)
	if err := p.handshake(r, self, reader.fixedDeadline); err != nil {
		_ = conn.Close()
		return nil, errs.Wrap(err, errs.StepRelayDial, conn.RemoteAddr().String(), errs.ReasonConnectionLost, true)
	}
	reader.fixedDeadline = time.Time{}
	go p.readLoop(r)
	go p.writeLoop()
	return p, nil
}

func handshakeDeadline(ctx context.Context) time.Time {
	end := time.Now().Add(idleTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	return end
}

func (p *Peer) handshake(r *bufio.Reader, self Hello, deadline time.Time) error {
	if err := p.conn.SetDeadline(deadline); err != nil {
		return err
	}
	body, err := EncodeBody(self)
	if err != nil {
		return err
	}
	frame, err := encodeFrame(&Envelope{Kind: KindHello, Body: body, Clock: p.clock.Now()})
	if err != nil {
		return err
	}
	if _, err := p.conn.Write(frame); err != nil {
		return errors.Wrap(err, "write hello")
	}
	env, err := readFrame(r)
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	if env.Kind != KindHello {
		return errors.Errorf("first message has kind %d, want hello", env.Kind)
	}
	p.clock.Observe(env.Clock)
	if err := DecodeBody(env, &p.Remote); err != nil {
		return err
	}
	return p.conn.SetDeadline(time.Time{})
}

// Notify sends a message that gets no reply. The message is dropped when the
// send queue is full or the connection is closed. An error means that the body
// cannot be encoded or is too large.
func (p *Peer) Notify(kind Kind, body any) error {
	raw, err := encodeBodyForFrame(body, "")
	if err != nil {
		return err
	}
	p.sendOrDrop(&Envelope{Kind: kind, Body: raw})
	return nil
}

// Forward sends a message received from another peer. Like Notify, it may drop
// the message.
func (p *Peer) Forward(env *Envelope) {
	p.sendOrDrop(&Envelope{Kind: env.Kind, Body: env.Body})
}

// Reply sends the reply to a request. A reply on a closed connection is dropped.
// While the send queue is full, Reply blocks, at most until a write times out
// and closes the connection. An error means that the body cannot be encoded or
// is too large.
func (p *Peer) Reply(request *Envelope, kind Kind, body any) error {
	raw, err := encodeBodyForFrame(body, request.Shard)
	if err != nil {
		return err
	}
	out := &outgoing{env: replyTo(request, kind, raw)}
	if !p.waitAndReserve(out) {
		return nil
	}
	select {
	case p.sendQ <- out:
	case <-p.closed:
	}
	return nil
}

// ReplyOrClose sends the reply to a request without blocking. A full send queue
// means that the peer has stopped reading. The connection is then closed, and
// the peer's calls fail with an unknown outcome instead of blocking this
// process.
func (p *Peer) ReplyOrClose(request *Envelope, kind Kind, body any) error {
	raw, err := encodeBodyForFrame(body, request.Shard)
	if err != nil {
		return err
	}
	if !p.tryQueue(&outgoing{env: replyTo(request, kind, raw)}) {
		p.closeWithError(errors.New("send queue full: peer does not read its replies"))
	}
	return nil
}

func replyTo(request *Envelope, kind Kind, raw msgpack.RawMessage) *Envelope {
	return &Envelope{
		ID: request.ID, Kind: kind, Reply: true,
		Shard: request.Shard, Snapshot: request.Snapshot, Body: raw,
	}
}

// Close closes the connection. Pending calls fail.
func (p *Peer) Close() { p.closeWithError(errors.New("connection closed locally")) }

// Done returns a channel that is closed when the connection is closed.
func (p *Peer) Done() <-chan struct{} { return p.closed }

func (p *Peer) name() string {
	return string(p.Remote.Role) + " " + string(p.Remote.VM) + " " + p.conn.RemoteAddr().String()
}

func (p *Peer) sendOrDrop(env *Envelope) {
	if !p.tryQueue(&outgoing{env: env}) {
		p.stats.droppedSends.Inc(1)
	}
}

// tryQueue queues a frame if the send queue has space for it, without blocking.
func (p *Peer) tryQueue(out *outgoing) bool {
	if !p.reserve(out) {
		return false
	}
	select {
	case p.sendQ <- out:
		return true
	default:
		p.release(out)
		return false
	}
}

func (p *Peer) closeError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *Peer) closeWithError(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return
	}
	p.err = err
	close(p.closed)
	_ = p.conn.Close()
}
