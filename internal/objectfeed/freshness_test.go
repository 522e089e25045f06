package objectfeed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A store that refuses one kind and answers another must not make the refused
// kind look fresh: other VMs would read from this one and miss leaves that leave.
func TestAgeOfAKindThatTheStoreRefuses(t *testing.T) {
	const s = time.Second
	f := NewFreshness[string]()
	f.RecordStoreAnswer(1*s, "leaves")
	f.RecordStoreAnswer(1*s, "configuration")

	f.RecordStoreAnswer(4*s, "configuration")
	assert.Equal(t, f.Age(5*s, "leaves"), 1*s, "a watch that waits is confirmed by any answer")

	f.RecordFailure("leaves")
	f.RecordStoreAnswer(6*s, "configuration")
	assert.Equal(t, f.Age(6*s, "leaves"), 5*s, "the last answer for leaves was at 1 s")
	assert.Equal(t, f.Age(6*s, "configuration"), time.Duration(0))

	f.RecordStoreAnswer(7*s, "leaves")
	f.RecordStoreAnswer(8*s, "configuration")
	assert.Equal(t, f.Age(8*s, "leaves"), time.Duration(0))
}

// Two VMs that lost the store and read from each other must see their copies age.
func TestAgeOfCopiesThatGoInACircle(t *testing.T) {
	const s = time.Second
	a, b := NewFreshness[string](), NewFreshness[string]()
	for _, f := range []*Freshness[string]{a, b} {
		f.RecordStoreAnswer(1*s, "leaves")
		f.RecordFailure("leaves")
	}
	for now := 2 * s; now < 10*s; now += s {
		a.RecordPeerAnswer(now, "leaves", b.Age(now, "leaves"))
		b.RecordPeerAnswer(now, "leaves", a.Age(now, "leaves"))
		a.RecordStoreAnswer(now, "configuration")
		b.RecordStoreAnswer(now, "configuration")
		assert.Equal(t, a.Age(now, "leaves"), now-1*s)
		assert.Equal(t, b.Age(now, "leaves"), now-1*s)
	}
}

// An older copy of another VM does not make this VM's own copy older.
func TestAgeKeepsTheNewestCopy(t *testing.T) {
	f := NewFreshness[string]()
	f.RecordPeerAnswer(5*time.Second, "leaves", time.Second)
	f.RecordPeerAnswer(6*time.Second, "leaves", 4*time.Second)
	assert.Equal(t, f.Age(6*time.Second, "leaves"), 2*time.Second)
}
