package peerfeed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/errs"
	"github.com/medlarswitch/medlarswitch/internal/message"
	"github.com/medlarswitch/medlarswitch/internal/topology"
	"github.com/medlarswitch/medlarswitch/internal/wire"
)

// Client sends requests to other VMs. It is safe for concurrent use.
type Client struct{ links *wire.Links }

// NewClient returns a client that uses the connections of links.
func NewClient(links *wire.Links) *Client { return &Client{links: links} }

// ExchangeFindings sends findings to the VM at an address and returns the
// findings of that VM.
func (c *Client) ExchangeFindings(ctx context.Context, addr string, in message.LeafSpeeds) (message.LeafSpeeds, error) {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	var out message.LeafSpeeds
	peer := c.links.Get(addr)
	if peer == nil {
		return out, errs.New(errs.StepStore, addr, errs.ReasonConnectionLost, true, "no connection to the VM")
	}
	env, err := peer.Call(ctx, wire.KindLeafSpeeds, "", topology.Snapshot{}, in)
	if err != nil {
		return out, err
	}
	return out, wire.DecodeBody(env, &out)
}

// replyMargin is how much longer than its wait a call may take.
const replyMargin = 500 * time.Millisecond

// FetchChanges reads a listing or changes from the VM at an address.
func (c *Client) FetchChanges(ctx context.Context, addr string, r message.FeedRequest) (message.FeedAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+replyMargin)
	defer cancel()
	peer := c.links.Get(addr)
	if peer == nil {
		return message.FeedAnswer{}, errs.New(errs.StepStore, addr, errs.ReasonConnectionLost, true, "no connection to the VM")
	}
	var answer message.FeedAnswer
	env, err := peer.Call(ctx, wire.KindFeedRequest, "", topology.Snapshot{}, r)
	if err != nil {
		return answer, err
	}
	if err := wire.DecodeBody(env, &answer); err != nil || answer.Packed == nil {
		return answer, err
	}
	answer.Changes.Objects, err = answer.Packed.Unpack()
	answer.Packed = nil
	return answer, errors.Wrapf(err, "objects of the VM at %s", addr)
}

// Query delegates a query to the VM at an address. The context limits the wait.
func (c *Client) Query(ctx context.Context, addr string, q message.Query) (message.QueryAnswer, error) {
	var answer message.QueryAnswer
	peer := c.links.Get(addr)
	if peer == nil {
		return answer, errs.New(errs.StepForward, addr, errs.ReasonConnectionLost, true, "no connection to the VM")
	}
	env, err := peer.Call(ctx, wire.KindQuery, "", topology.Snapshot{}, q)
	if err != nil {
		return answer, err
	}
	return answer, wire.DecodeBody(env, &answer)
}
