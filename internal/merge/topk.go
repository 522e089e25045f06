// Package merge combines the replies of a query's shards into one answer.
package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// TopK selects the greatest records of many parts. Records are compared byte by
// byte; equal records are all kept.
type TopK struct {
	limit   int
	records [][]byte
}

// NewTopK returns an empty TopK that selects at most limit records.
func NewTopK(limit int) *TopK { return &TopK{limit: limit} }

// Add adds the records of a part, in any order. Trailing bytes that do not fill a
// record are ignored. The part must not be modified afterwards.
func (t *TopK) Add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		t.records = append(t.records, part[:RecordSize])
	}
}

// Bytes returns the selected records in descending order.
func (t *TopK) Bytes() []byte {
	slices.SortFunc(t.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	n := min(t.limit, len(t.records))
	out := make([]byte, 0, n*RecordSize)
	for _, record := range t.records[:n] {
		out = append(out, record...)
	}
	return out
}
