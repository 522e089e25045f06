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
// headers that it is given, except those of Merged and Refusal, which it sets.
type Codec interface {
	Caller(h http.Header) CallerInfo
	// Forwarded returns the headers of a caller that go on to leaves.
	Forwarded(h http.Header) http.Header
	// Addressed adds which leaf must run the request, and in which time.
	Addressed(h http.Header, requestID string, leaf fleet.LeafID, left time.Duration) http.Header
	Leaf(status int, h http.Header) LeafInfo
	// Reply returns the headers of a leaf's reply that go back to the caller.
	Reply(h http.Header) http.Header
	Merged(h http.Header, requestID string, receipts []string, missing int)
	Refusal(h http.Header, requestID string, after time.Duration)
}

// CallerInfo is what a caller says of its request.
type CallerInfo struct {
	RequestID string
	// TimeLeft is how long the caller waits; 0 when it does not say.
	TimeLeft time.Duration
}

// Load is what a leaf states of its work.
type Load = placement.Load

// LeafInfo is what a leaf's reply says of itself.
type LeafInfo struct {
	// RequestID is that of the request that the reply belongs to, if stated.
	RequestID string
	// Receipt is the leaf's signature of the reply.
	Receipt string
	// NotRun is true when the leaf states that it did not run the request.
	NotRun bool
	// OtherRun is true when another leaf than the addressed one answered.
	OtherRun bool
	// Encoded is true when the body is not as the leaf wrote it.
	Encoded bool
	Load    Load
	HasLoad bool
	// ColdFor is how long the leaf stays cold.
	ColdFor time.Duration
}
