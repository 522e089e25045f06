// Package merge combines the replies of a query's shards into one answer.
package merge

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record in bytes.
const RecordSize = 16

type record [RecordSize]byte

// TopK keeps the greatest records of a part that is written to it, or of several parts.
// Records are compared byte by byte; equal records are all kept. It is not safe for
// concurrent use.
type TopK struct {
	limit int
	// records holds up to twice the limit, so that each record is compared only a few times.
	// Once there were that many, least is the least one of the greatest.
	records []record
	least   *record
	// rest is the begin of the next record.
	rest []byte
}

// NewTopK returns a TopK that keeps a number of records.
func NewTopK(limit int) *TopK { return &TopK{limit: limit} }

// Write adds the records of the next bytes of a part. A remainder at the end of the part that
// is shorter than a record is none. It returns no error.
func (t *TopK) Write(b []byte) (int, error) {
	n := len(b)
	if len(t.rest) > 0 {
		missing := min(RecordSize-len(t.rest), len(b))
		t.rest = append(t.rest, b[:missing]...)
		b = b[missing:]
		if len(t.rest) < RecordSize {
			return n, nil
		}
		t.add(record(t.rest))
		t.rest = t.rest[:0]
	}
	for ; len(b) >= RecordSize; b = b[RecordSize:] {
		t.add(record(b))
	}
	t.rest = append(t.rest, b...)
	return n, nil
}

// Kept returns the memory that the records take, in bytes.
func (t *TopK) Kept() int64 { return int64(cap(t.records)) * RecordSize }

// Merge adds the records of another part.
func (t *TopK) Merge(part *TopK) {
	for _, r := range part.records {
		t.add(r)
	}
}

// Bytes returns the greatest records, greatest first.
func (t *TopK) Bytes() []byte {
	t.trim()
	out := make([]byte, 0, len(t.records)*RecordSize)
	for _, r := range t.records {
		out = append(out, r[:]...)
	}
	return out
}

func (t *TopK) add(r record) {
	if t.least != nil && bytes.Compare(r[:], t.least[:]) <= 0 {
		return
	}
	t.records = append(t.records, r)
	if len(t.records) >= 2*t.limit {
		t.trim()
	}
}

// trim removes all but the greatest records.
func (t *TopK) trim() {
	slices.SortFunc(t.records, func(a, b record) int { return bytes.Compare(b[:], a[:]) })
	if len(t.records) < t.limit {
		return
	}
	t.records = t.records[:t.limit]
	if t.limit > 0 {
		least := t.records[t.limit-1]
		t.least = &least
	}
}
