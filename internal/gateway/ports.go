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

// ErrHistoryDiscarded is returned by a watch from a revision whose following changes
// the store has discarded. The objects must be listed again.
var ErrHistoryDiscarded = errors.New("the store has discarded the history since that revision")

// Store is the platform's object store. It is safe for concurrent use.
type Store interface {
	// List returns all objects of a kind.
	List(ctx context.Context, kind directory.Kind) (objectfeed.Changes, error)
	// Watch returns the changes after a revision. It waits for the first
	// change, but not longer than wait.
	Watch(ctx context.Context, kind directory.Kind, from uint64, wait time.Duration) (objectfeed.Changes, error)
	// Decode returns the events that an object represents, or none if the
	// object is of no use to a VM.
	Decode(kind directory.Kind, object objectfeed.Object) []directory.Event
	// Join writes the member entry of a VM, Leave removes it.
	Join(ctx context.Context, vm delegation.VM, refresh uint64) error
	Leave(ctx context.Context, vm string) error
}

// Codec reads and writes the platform's HTTP headers. It does not modify the
// headers that it receives, except in SetMergedHeader and SetRefusalHeader.
type Codec interface {
	// ParseRequest returns what the headers of a caller's request state.
	ParseRequest(h http.Header) RequestInfo
	// ForwardedHeader returns the headers of a caller's request that are
	// forwarded to leaves.
	ForwardedHeader(h http.Header) http.Header
	// DiffersPerAttempt reports whether a forwarded header differs between the attempts of
	// a caller's request. The name is in the canonical form of net/http.
	DiffersPerAttempt(name string) bool
	// ForwardedLines encodes forwarded headers, except for those that LeafRequestHeader
	// returns for a request with this ID.
	ForwardedLines(h http.Header, requestID string) []byte
	// LeafRequestHeader returns the headers of a leaf request that name the request, the leaf
	// that must run it, and the time left for it.
	LeafRequestHeader(requestID string, leaf fleet.LeafID, left time.Duration) http.Header
	// ReplyRequestID returns the ID of the request that a leaf's reply belongs to, or "" if
	// the reply states none.
	ReplyRequestID(h http.Header) string
	// ParseReply returns what the status and headers of a leaf's reply state.
	ParseReply(status int, h http.Header) ReplyInfo
	// ReplyHeader returns the headers of a leaf's reply that are returned to
	// the caller.
	ReplyHeader(h http.Header) http.Header
	// SetMergedHeader sets the headers of an answer that is merged from several
	// replies.
	SetMergedHeader(h http.Header, requestID string, receipts []string, missing int)
	// SetRefusalHeader sets the headers of an answer to a request that failed
	// or was refused, and when the caller may retry; 0 means not stated.
	SetRefusalHeader(h http.Header, requestID string, retryAfter time.Duration)
}

// RequestInfo is what a caller states about its request.
type RequestInfo struct {
	RequestID string
	// TimeLeft is how long the caller waits; 0 if not stated.
	TimeLeft time.Duration
}

// Load is the load that a leaf states in its replies.
type Load = placement.Load

// ReplyInfo is what a leaf's reply states besides its body.
type ReplyInfo struct {
	// RequestID identifies the request that the reply belongs to, if stated.
	RequestID string
	// Receipt is the leaf's signature of the reply.
	Receipt string
	// NotRun is true when the leaf states that it did not run the request.
	NotRun bool
	// WrongInstance is true when a leaf other than the addressed one replied.
	WrongInstance bool
	// Encoded is true when the body has a content encoding, so that it is not
	// as the leaf wrote it.
	Encoded bool
	Load    Load
	HasLoad bool
	// ColdFor is how long the leaf remains cold.
	ColdFor time.Duration
	// Statement is what the leaf states of itself. Unreadable holds the headers of
	// statements that could not be decoded and were ignored.
	Statement  placement.Statement
	Unreadable []string
}
