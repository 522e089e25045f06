package wire

import (
	"bufio"
	"time"

	"github.com/pkg/errors"
)

// errHandlerPanicked is why a connection is closed whose message caused a panic.
var errHandlerPanicked = errors.New("a message of the peer caused a panic")

// readLoop reads and delivers frames until the connection fails.
func (p *Peer) readLoop(r *bufio.Reader) {
	for {
		env, err := readFrame(r)
		if err != nil {
			p.closeWithError(err)
			return
		}
		p.clock.Observe(env.Clock)
		p.deliver(env)
	}
}

// deliver handles a frame. A panic in its handler closes this connection, not the
// process.
func (p *Peer) deliver(env *Envelope) {
	defer p.stats.panics.Recover("peer-message", string(p.Remote.VM), func() { p.closeWithError(errHandlerPanicked) })
	switch {
	case env.Kind == KindPing || env.Kind == KindPong || env.Kind == KindHello:
	case env.Reply:
		p.deliverReply(env)
	case p.handler != nil:
		p.handler(p, env)
	}
}

// deliverReply passes a reply to its pending call. A reply that matches no
// pending call is dropped and counted.
func (p *Peer) deliverReply(env *Envelope) {
	call, ok := p.takePending(env)
	if !ok {
		p.stats.strayReplies.Inc(1)
		return
	}
	call.reply <- env
}

// takePending removes and returns the pending call that a reply matches. A
// duplicate of the reply then matches no call.
func (p *Peer) takePending(env *Envelope) (*pendingCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call, ok := p.pending[env.ID]
	if !ok || !env.matches(call.out.env) {
		return nil, false
	}
	delete(p.pending, env.ID)
	return call, true
}

// writeLoop writes queued frames and a ping every pingInterval. It flushes when
// the queue is empty, so that frames that are queued together share a system
// call.
func (p *Peer) writeLoop() {
	w := bufio.NewWriterSize(chunkWriter{p.conn}, bufferBytes)
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var err error
		select {
		case out := <-p.sendQ:
			err = p.writeBatch(w, out)
		case <-ping.C:
			err = p.writeBatch(w, &outgoing{env: &Envelope{Kind: KindPing}})
		case <-p.closed:
			return
		}
		if err != nil {
			p.closeWithError(errors.Wrap(err, "write"))
			return
		}
	}
}

func (p *Peer) writeBatch(w *bufio.Writer, first *outgoing) error {
	if err := p.writeOne(w, first); err != nil {
		return err
	}
	for {
		select {
		case out := <-p.sendQ:
			if err := p.writeOne(w, out); err != nil {
				return err
			}
		default:
			return w.Flush()
		}
	}
}

func (p *Peer) writeOne(w *bufio.Writer, out *outgoing) error {
	p.release(out)
	if !out.claim() {
		return nil
	}
	out.env.Clock = p.clock.Now()
	frame, err := p.encoder.encode(out.env)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}
