package wire

import (
	"context"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/topology"
)

// Call sends a request and waits for its reply. NotRun of a returned errs.Error
// is true if the request was definitely not sent.
func (p *Peer) Call(ctx context.Context, kind Kind, shard string, snap topology.Snapshot, body any) (*Envelope, error) {
	raw, err := encodeBodyForFrame(body, shard)
	if err != nil {
		return nil, errs.Wrap(err, errs.StepRelaySend, p.name(), errs.ReasonInvalid, true)
	}
	env := &Envelope{ID: p.nextID.Add(1), Kind: kind, Shard: shard, Snapshot: snap, Body: raw}
	call := &pendingCall{out: &outgoing{env: env}, reply: make(chan *Envelope, 1)}
	if err := p.register(call); err != nil {
		return nil, errs.Wrap(err, errs.StepRelaySend, p.name(), errs.ReasonConnectionLost, true)
	}
	defer p.unregister(env.ID)
	if err := p.enqueue(ctx, call.out); err != nil {
		return nil, err
	}
	return p.await(ctx, call)
}

// await waits for the reply, the end of the context or the loss of the
// connection. A reply that has arrived takes precedence, because the request has
// run and its outcome is known.
func (p *Peer) await(ctx context.Context, call *pendingCall) (*Envelope, error) {
	select {
	case reply := <-call.reply:
		return reply, nil
	case <-ctx.Done():
	case <-p.closed:
	}
	select {
	case reply := <-call.reply:
		return reply, nil
	default:
	}
	if ctx.Err() != nil {
		return nil, p.cancelCall(ctx, call)
	}
	notRun := call.out.abandon()
	return nil, errs.Wrap(p.closeError(), errs.StepRelaySend, p.name(), errs.ReasonConnectionLost, notRun)
}

func (p *Peer) cancelCall(ctx context.Context, call *pendingCall) error {
	notRun := call.out.abandon()
	if !notRun {
		p.sendOrDrop(&Envelope{Kind: KindCancel, ID: call.out.env.ID, Shard: call.out.env.Shard})
	}
	return errs.Wrap(ctx.Err(), errs.StepRelaySend, p.name(), contextReason(ctx), notRun)
}

func (p *Peer) enqueue(ctx context.Context, out *outgoing) error {
	if !p.reserve(out) {
		return errs.New(errs.StepRelaySend, p.name(), errs.ReasonOverloaded, true, "send queue holds %d MiB", maxQueuedBytes>>20)
	}
	select {
	case p.sendQ <- out:
		return nil
	case <-ctx.Done():
		p.release(out)
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

func (p *Peer) unregister(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

func contextReason(ctx context.Context) errs.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errs.ReasonDeadline
	}
	return errs.ReasonCancelled
}
