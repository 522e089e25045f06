package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/timeline"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

const (
	pingInterval  = time.Second
	idleTimeout   = 3 * time.Second
	writeTimeout  = 3 * time.Second
	sendQueueSize = 4096
	bufferBytes   = 64 << 10
)

// Handler receives the messages of a peer that are not replies. It is called
// from the connection's reader and must not block.
type Handler func(p *Peer, env *Envelope)

// Peer is one end of a connection. All methods are safe for concurrent use.
type Peer struct {
	// Remote is the hello of the other end; set before the handler runs.
	Remote Hello

	conn    net.Conn
	clock   *timeline.Clock
	handler Handler
	stats   *Stats

	nextID  atomic.Uint64
	sendQ   chan *outgoing
	mu      sync.Mutex
	pending map[uint64]*pendingCall
	err     error
	closed  chan struct{}
}

// NewPeer exchanges hellos and starts the connection's reader and writer. It
// closes conn when the exchange fails.
func NewPeer(ctx context.Context, conn net.Conn, self Hello, opts Options) (*Peer, error) {
	p := &Peer{
		conn: conn, clock: opts.Clock, handler: opts.Handler, stats: opts.Stats,
		sendQ:   make(chan *outgoing, sendQueueSize),
		pending: make(map[uint64]*pendingCall),
		closed:  make(chan struct{}),
	}
	r := bufio.NewReaderSize(conn, bufferBytes)
	if err := p.handshake(ctx, r, self); err != nil {
		_ = conn.Close()
		return nil, errs.Wrap(err, errs.StepRelayDial, conn.RemoteAddr().String(), errs.ReasonConnectionLost, true)
	}
	go p.readLoop(r)
	go p.writeLoop()
	return p, nil
}

func (p *Peer) handshake(ctx context.Context, r *bufio.Reader, self Hello) error {
	deadline := time.Now().Add(idleTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
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

// Call sends a request and waits for its reply. An error states whether the
// request is known not to have been sent.
func (p *Peer) Call(ctx context.Context, kind Kind, shard string, snap topology.Snapshot, body any) (*Envelope, error) {
	raw, err := EncodeBody(body)
	if err != nil {
		return nil, errs.Wrap(err, errs.StepRelaySend, p.name(), errs.ReasonInvalid, true)
	}
	env := &Envelope{ID: p.nextID.Add(1), Kind: kind, Shard: shard, Snapshot: snap, Body: raw}
	call := &pendingCall{out: &outgoing{env: env}, reply: make(chan *Envelope, 1)}
	if err := p.register(call); err != nil {
		return nil, errs.Wrap(err, errs.StepRelaySend, p.name(), errs.ReasonConnectionLost, true)
	}
	defer p.forget(env.ID)
	if err := p.enqueue(ctx, call.out); err != nil {
		return nil, err
	}
	select {
	case reply := <-call.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, p.abandonCall(ctx, call)
	case <-p.closed:
		return p.lostCall(call)
	}
}

// lostCall prefers a reply that arrived just before the connection closed.
func (p *Peer) lostCall(call *pendingCall) (*Envelope, error) {
	select {
	case reply := <-call.reply:
		return reply, nil
	default:
	}
	notRun := call.out.abandon()
	return nil, errs.Wrap(p.closeError(), errs.StepRelaySend, p.name(), errs.ReasonConnectionLost, notRun)
}

func (p *Peer) abandonCall(ctx context.Context, call *pendingCall) error {
	notRun := call.out.abandon()
	if !notRun {
		p.post(&Envelope{Kind: KindCancel, ID: call.out.env.ID, Shard: call.out.env.Shard})
	}
	reason := errs.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = errs.ReasonDeadline
	}
	return errs.Wrap(ctx.Err(), errs.StepRelaySend, p.name(), reason, notRun)
}

// Notify sends a message without a reply. It is dropped when the send queue
// is full or the connection is closed.
func (p *Peer) Notify(kind Kind, body any) error {
	raw, err := EncodeBody(body)
	if err != nil {
		return err
	}
	p.post(&Envelope{Kind: kind, Body: raw})
	return nil
}

// Forward sends a message of another peer on. Like Notify, it may drop it.
func (p *Peer) Forward(env *Envelope) {
	p.post(&Envelope{Kind: env.Kind, Body: env.Body})
}

// Reply answers a request. A reply to a closed connection is dropped.
func (p *Peer) Reply(request *Envelope, kind Kind, body any) error {
	raw, err := EncodeBody(body)
	if err != nil {
		return err
	}
	env := &Envelope{
		ID: request.ID, Kind: kind, Reply: true,
		Shard: request.Shard, Snapshot: request.Snapshot, Body: raw,
	}
	select {
	case p.sendQ <- &outgoing{env: env}:
	case <-p.closed:
	}
	return nil
}

// Close ends the connection; open calls fail.
func (p *Peer) Close() { p.fail(errors.New("closed by this end")) }

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.closed }

func (p *Peer) name() string {
	return string(p.Remote.Role) + " " + string(p.Remote.VM) + " " + p.conn.RemoteAddr().String()
}

func (p *Peer) post(env *Envelope) {
	select {
	case p.sendQ <- &outgoing{env: env}:
	default:
		p.stats.droppedSends.Inc(1)
	}
}

func (p *Peer) enqueue(ctx context.Context, out *outgoing) error {
	select {
	case p.sendQ <- out:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), errs.StepRelaySend, p.name(), errs.ReasonOverloaded, true)
	case <-p.closed:
		return errs.Wrap(p.closeError(), errs.StepRelaySend, p.name(), errs.ReasonConnectionLost, true)
	}
}

func (p *Peer) register(call *pendingCall) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return p.err
	}
	p.pending[call.out.env.ID] = call
	return nil
}

func (p *Peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

func (p *Peer) closeError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

func (p *Peer) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return
	}
	p.err = err
	close(p.closed)
	_ = p.conn.Close()
}
