// Package merge joins the parts of a query's answer.
package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// TopK collects the greatest records of many parts. Records are compared byte by
// byte, and equal ones all count.
type TopK struct {
	limit   int
	records [][]byte
}

// NewTopK returns a collector of at most limit records.
func NewTopK(limit int) *TopK { return &TopK{limit: limit} }

// Add takes in the records of a part, in any order. What is left at the end of
// the part and shorter than a record is none. The part must not change later.
func (t *TopK) Add(part []byte) {
	for ; len(part) >= RecordSize; part = part[RecordSize:] {
		t.records = append(t.records, part[:RecordSize])
	}
}

// Bytes returns the greatest records, the greatest first.
func (t *TopK) Bytes() []byte {
	slices.SortFunc(t.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	n := min(t.limit, len(t.records))
	out := make([]byte, 0, n*RecordSize)
	for _, record := range t.records[:n] {
		out = append(out, record...)
	}
	return out
}
