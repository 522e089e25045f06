package merge

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func record(b byte) []byte { return bytes.Repeat([]byte{b}, RecordSize) }

// Guards against records in the wrong order, a lost duplicate, and trailing bytes
// that are treated as a record.
func TestTopRecords(t *testing.T) {
	top := NewTopK(4)
	top.Add(append(append(record(1), record(200)...), 255, 255))
	top.Add(append(record(7), record(7)...))
	top.Add(nil)
	want := append(append(append(record(200), record(7)...), record(7)...), record(1)...)
	assert.DeepEqual(t, top.Bytes(), want)
	two := NewTopK(2)
	two.Add(append(record(1), record(9)...))
	two.Add(record(3))
	assert.DeepEqual(t, two.Bytes(), append(record(9), record(3)...))
	assert.Equal(t, len(NewTopK(3).Bytes()), 0)
}
