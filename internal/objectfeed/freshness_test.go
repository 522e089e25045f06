package objectfeed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a copy that counts as fresh although the store refuses calls for its
// kind or has stalled its watch, because it answers calls for another kind. Other VMs
// would read from this one and send requests to leaves that are leaving, or to an
// evacuated zone.
func TestAgeOfAKindThatTheStoreDoesNotAnswer(t *testing.T) {
	const s = time.Second
	f := NewFreshness[string]()
	f.RecordAnswer(1*s, "leaves", 0)
	f.RecordAnswer(1*s, "configuration", 0)

	f.RecordAnswer(4*s, "configuration", 0)
	assert.Equal(t, f.Age(5*s, "leaves"), 4*s, "the last answer for leaves was at 1 s")
	f.RecordAnswer(6*s, "configuration", 0)
	assert.Equal(t, f.Age(6*s, "leaves"), 5*s, "the last answer for leaves was at 1 s")
	assert.Equal(t, f.Age(6*s, "configuration"), time.Duration(0))

	f.RecordAnswer(7*s, "leaves", 0)
	f.RecordAnswer(8*s, "configuration", 0)
	assert.Equal(t, f.Age(8*s, "leaves"), 1*s)
}

// Guards against two VMs that cannot reach the store, read from each other and
// thereby keep their copies fresh.
func TestAgeOfCopiesReadInACircle(t *testing.T) {
	const s = time.Second
	a, b := NewFreshness[string](), NewFreshness[string]()
	for _, f := range []*Freshness[string]{a, b} {
		f.RecordAnswer(1*s, "leaves", 0)
	}
	for now := 2 * s; now < 10*s; now += s {
		a.RecordAnswer(now, "leaves", b.Age(now, "leaves"))
		b.RecordAnswer(now, "leaves", a.Age(now, "leaves"))
		a.RecordAnswer(now, "configuration", 0)
		b.RecordAnswer(now, "configuration", 0)
		assert.Equal(t, a.Age(now, "leaves"), now-1*s)
		assert.Equal(t, b.Age(now, "leaves"), now-1*s)
	}
}

// Guards against an increased age of this VM's copy after an answer of another VM whose
// copy is older.
func TestAgeKeepsTheNewestCopy(t *testing.T) {
	f := NewFreshness[string]()
	f.RecordAnswer(5*time.Second, "leaves", time.Second)
	f.RecordAnswer(6*time.Second, "leaves", 4*time.Second)
	assert.Equal(t, f.Age(6*time.Second, "leaves"), 2*time.Second)
}
