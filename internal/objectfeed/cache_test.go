package objectfeed

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a reader that continues at another copy from its revision and ends
// with objects that differ from the store's: a change is lost or overwritten by an
// older one, or a deletion is missed.
func TestReadersEndWithTheStoresObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]string{}
		var copies [2]Cache
		for i := range copies {
			copies[i].Apply(Changes{Revision: 1, IsListing: true})
		}
		revision := uint64(1)
		reader, at := map[string]string{}, uint64(0)
		var pending [2][]Object
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "object"))
			revision++
			o := Object{Name: name, Text: []byte(fmt.Sprint(revision))}
			if rapid.Bool().Draw(t, "delete") {
				o = Object{Name: name, Deleted: true}
				delete(store, name)
			} else {
				store[name] = string(o.Text)
			}
			for i := range copies {
				pending[i] = append(pending[i], o)
				if rapid.Bool().Draw(t, "apply") {
					copies[i].Apply(Changes{Revision: revision, Objects: pending[i]})
					pending[i] = nil
				}
			}
			at = read(&copies[rapid.IntRange(0, 1).Draw(t, "copy")], reader, at)
		}
		copies[0].Apply(Changes{Revision: revision, Objects: pending[0]})
		at = read(&copies[0], reader, at)
		if at != revision || fmt.Sprint(reader) != fmt.Sprint(store) {
			t.Fatalf("at %d of %d: %v, the store has %v", at, revision, reader, store)
		}
	})
}

func read(c *Cache, reader map[string]string, at uint64) uint64 {
	changes, ok := c.Since(at)
	if !ok {
		if changes = c.List(); !c.Listed() || changes.Revision < at {
			return at
		}
		clear(reader)
	}
	for _, o := range changes.Objects {
		if o.Deleted {
			delete(reader, o.Name)
		} else {
			reader[o.Name] = string(o.Text)
		}
	}
	return changes.Revision
}

// Guards against a history that grows without bound, and against incomplete changes
// for a reader whose revision is older than the history.
func TestHistoryIsBounded(t *testing.T) {
	var c Cache
	_, ok := c.Since(0)
	assert.Assert(t, !ok)
	c.Apply(Changes{Revision: 1, IsListing: true})
	for i := range 3 * minHistory {
		c.Apply(Changes{Revision: uint64(i + 2), Objects: []Object{{Name: "a"}}})
	}
	assert.Equal(t, len(c.history), minHistory)
	_, ok = c.Since(5)
	assert.Assert(t, !ok)
	_, ok = c.Since(c.historyStart)
	assert.Assert(t, ok)
}

// Load pattern: all leaves of a large index are replaced within seconds, while a
// reader is slow. Guards against a fleet in which every VM lists all leaves again.
func TestReplacementOfAllLeavesFitsTheHistory(t *testing.T) {
	const leaves = 1350
	listing := Changes{Revision: 1, IsListing: true}
	for i := range leaves {
		listing.Objects = append(listing.Objects, Object{Name: fmt.Sprint("old-", i)})
	}
	var c Cache
	c.Apply(listing)
	revision := listing.Revision
	for i := range leaves {
		for _, o := range []Object{{Name: fmt.Sprint("new-", i)}, {Name: fmt.Sprint("old-", i)}, {Name: fmt.Sprint("old-", i), Deleted: true}} {
			revision++
			c.Apply(Changes{Revision: revision, Objects: []Object{o}})
		}
	}
	changes, ok := c.Since(listing.Revision)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes.Objects), 2*leaves)
}
