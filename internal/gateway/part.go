package gateway

import (
	"net/http"

	"github.com/medlarswitch/medlarswitch/internal/leafconn"
	"github.com/medlarswitch/medlarswitch/internal/merge"
)

// maxPartReceiptBytes limits the receipt of a part. The answer names the receipts of all
// parts in its headers, which callers read up to some ten KB.
const maxPartReceiptBytes = 512

// A leaf selects the greatest records of its shard, so that a part is about as long as the
// answer. maxPartFactor and minPartLimit allow for leaves that send many more.
const (
	maxPartFactor = 64
	minPartLimit  = 1 << 20
)

// discard is the sink of a body that is not used.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Kept implements leafconn.Sink.
func (discard) Kept() int64 { return 0 }

// readHead decodes the head of a reply and returns where its body goes; nil means that it is
// kept. Of a part, only the greatest records are.
func (r *run) readHead(a *attempt, info *ReplyInfo, status int, h http.Header) leafconn.Sink {
	*info = r.node.codec.ParseReply(status, h)
	r.node.recordStatement(a, *info)
	info.Unreadable = nil
	if !r.call.route.FansOut() {
		return nil
	}
	if len(info.Receipt) > maxPartReceiptBytes {
		info.Receipt = ""
	}
	if !isPart(status, info) {
		return discard{}
	}
	a.part = merge.NewTopK(r.call.route.TopK)
	return a.part
}

// partLimit returns the greatest length of a part in bytes, or 0 for a route whose replies
// are no parts.
func (r *run) partLimit() int64 {
	if !r.call.route.FansOut() {
		return 0
	}
	return max(minPartLimit, maxPartFactor*merge.RecordSize*int64(r.call.route.TopK))
}

// isPart reports whether a reply is a part of the answer to a query.
func isPart(status int, info *ReplyInfo) bool {
	return status == http.StatusOK && info.Receipt != "" && !info.NotRun && !info.Encoded
}
