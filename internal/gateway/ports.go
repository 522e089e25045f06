package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/medlarswitch/medlarswitch/internal/delegation"
	"github.com/medlarswitch/medlarswitch/internal/directory"
	"github.com/medlarswitch/medlarswitch/internal/fleet"
	"github.com/medlarswitch/medlarswitch/internal/objectfeed"
	"github.com/medlarswitch/medlarswitch/internal/placement"
)

// ErrHistoryGone is the answer to a watch from a revision that the store has
// forgotten: the objects must be listed anew.
var ErrHistoryGone = errors.New("the store has forgotten the history since that revision")

// Store is the platform's object store. It is safe for concurrent use.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind directory.Kind) (objectfeed.Changes, error)
	// Watch returns what changed after a revision, waiting for the first change
	// but not longer than wait.
	Watch(ctx context.Context, kind directory.Kind, from uint64, wait time.Duration) (objectfeed.Changes, error)
	// Decode returns what an object means; an object without a meaning gives none.
	Decode(kind directory.Kind, object objectfeed.Object) []directory.Event
	// Join writes the member entry of a VM, Leave removes it.
	Join(ctx context.Context, vm delegation.VM, refresh uint64) error
	Leave(ctx context.Context, vm string) error
}

// Codec reads and writes the headers of the platform. It changes none of the
// headers that it is given, except those of SetMergedHeader and SetRefusalHeader, which it sets.
type Codec interface {
	ParseRequest(h http.Header) RequestInfo
	// ForwardedHeader returns the headers of a caller that go on to leaves.
	ForwardedHeader(h http.Header) http.Header
	// LeafRequestHeader adds which leaf must run the request, and in which time.
	LeafRequestHeader(h http.Header, requestID string, leaf fleet.LeafID, left time.Duration) http.Header
	ParseReply(status int, h http.Header) ReplyInfo
	// ReplyHeader returns the headers of a leaf's reply that go back to the caller.
	ReplyHeader(h http.Header) http.Header
	SetMergedHeader(h http.Header, requestID string, receipts []string, missing int)
	SetRefusalHeader(h http.Header, requestID string, after time.Duration)
}

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	RequestID string
	// TimeLeft is how long the caller waits; 0 when it does not say.
	TimeLeft time.Duration
}

// Load is what a leaf states of its work.
type Load = placement.Load

// ReplyInfo is what a leaf's reply says of itself.
type ReplyInfo struct {
	// RequestID is that of the request that the reply belongs to, if stated.
	RequestID string
	// Receipt is the leaf's signature of the reply.
	Receipt string
	// NotRun is true when the leaf states that it did not run the request.
	NotRun bool
	// WrongInstance is true when another leaf than the addressed one answered.
	WrongInstance bool
	// Encoded is true when the body is not as the leaf wrote it.
	Encoded bool
	Load    Load
	HasLoad bool
	// ColdFor is how long the leaf stays cold.
	ColdFor time.Duration
}
