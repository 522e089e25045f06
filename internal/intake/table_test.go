package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testMemory = 8 << 20
	// longBody is the memory of a long request, ordinaryBytes that of an ordinary one.
	longBody      = 512 << 10
	ordinaryBytes = 10 << 10
	piece         = 64 << 10
)

func newTestTable() *Table { return New(Config{Connections: 1000, Memory: testMemory}) }

// connect adds a connection that must be accepted.
func connect(t *testing.T, table *Table, now time.Duration, id ID) {
	t.Helper()
	_, ok := table.Connect(now, id)
	assert.Assert(t, ok)
}

// arrive takes memory for a caller piece by piece, and reports whether it got all.
func arrive(table *Table, now time.Duration, id ID, bytes int64) (evicted []ID, ok bool) {
	table.Send(now, id)
	for taken := int64(piece); taken <= bytes; taken += piece {
		more, ok := table.Take(now, id, taken)
		if evicted = append(evicted, more...); !ok {
			return evicted, false
		}
	}
	return evicted, true
}

// Load pattern: see the package. Guards against a crowd of unfinished requests that exceeds the
// memory, against ordinary callers that find none beside it, and against a sound long request
// that finds none although the crowd is stuck.
func TestUnfinishedRequestsMakeRoom(t *testing.T) {
	table := newTestTable()
	admitted := 0
	for id := range ID(200) {
		connect(t, table, 0, id)
		if evicted, ok := arrive(table, 0, id, longBody); ok {
			admitted++
		} else {
			assert.Equal(t, len(evicted), 0, "no caller had time to send its request")
			table.Remove(id)
		}
		assert.Assert(t, table.Taken() <= testMemory)
	}
	assert.Assert(t, admitted >= testMemory/longBody-1)
	connect(t, table, 0, 1000)
	table.Send(0, 1000)
	_, ok := table.Take(0, 1000, ordinaryBytes)
	assert.Assert(t, ok)

	now := Patience
	connect(t, table, now, 1001)
	evicted, ok := arrive(table, now, 1001, longBody)
	assert.Assert(t, !ok && len(evicted) == 1)
	again, ok := arrive(table, now, 1001, longBody)
	assert.Assert(t, !ok && len(again) == 0, "the memory of the evicted caller is not returned yet")
	table.Remove(evicted[0])
	_, ok = arrive(table, now, 1001, longBody)
	assert.Assert(t, ok)
}

// Load pattern: long requests that have arrived as a whole wait for slow leaves. Guards against
// ending them for others, also one that completes at the moment at which it is evicted.
func TestRunningRequestsAreNotEvicted(t *testing.T) {
	table := newTestTable()
	for id := range ID(testMemory / longBody) {
		connect(t, table, 0, id)
		_, ok := arrive(table, 0, id, longBody)
		assert.Assert(t, ok)
		if id > 0 {
			table.Run(0, id)
		}
	}
	connect(t, table, Patience, 100)
	evicted, ok := arrive(table, Patience, 100, longBody)
	assert.Assert(t, !ok)
	assert.DeepEqual(t, evicted, []ID{0})
	table.Run(Patience, 0)
	evicted, ok = arrive(table, 2*Patience, 100, longBody)
	assert.Assert(t, !ok && len(evicted) == 0)
}

// Load pattern: callers open connections and send nothing, or a part of a request, until the
// limit. Guards against new callers that are refused for longer than Patience, and against
// ending a request before an idle connection.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	table := New(Config{Connections: 3, Memory: testMemory})
	for id := range ID(3) {
		connect(t, table, time.Duration(id), id)
	}
	table.Send(3, 0)
	table.Run(4, 1)
	_, ok := table.Connect(5, 10)
	assert.Assert(t, !ok)
	now := Patience + 5
	for i, want := range []ID{2, 0} {
		evicted, ok := table.Connect(now, ID(10+i))
		assert.Assert(t, ok)
		assert.DeepEqual(t, evicted, []ID{want})
		assert.Equal(t, table.Connections(), 3)
		table.Remove(want)
		assert.Equal(t, table.Connections(), 3)
	}
	_, ok = table.Connect(now, 20)
	assert.Assert(t, !ok, "one caller runs and two are new")
}

// Guards against memory or connections that are counted twice or never returned, in any order
// of calls (seeds 1 to 100).
func TestWhatIsTakenIsReturned(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed+1, 0))
		table := New(Config{Connections: 20, Memory: 1 << 20})
		var now time.Duration
		for range 3000 {
			now += time.Duration(rng.Int64N(int64(Patience / 10)))
			id := ID(rng.IntN(30))
			known := table.callers[id] != nil
			switch op := rng.IntN(7); {
			case op == 0 && !known:
				table.Connect(now, id)
			case op == 1 && !known:
				table.AddRun(now, id)
			case op == 2:
				table.Send(now, id)
			case op == 3:
				table.Run(now, id)
			case op == 4:
				table.Rest(now, id)
			case op == 5:
				table.Take(now, id, rng.Int64N(200<<10))
			case op == 6:
				table.Remove(id)
			}
			var taken int64
			counted := 0
			for _, c := range table.callers {
				taken += c.beyondAllowance()
				if c.counted {
					counted++
				}
			}
			assert.Equal(t, table.Taken(), taken, "seed %d", seed+1)
			assert.Assert(t, taken <= 1<<20, "seed %d", seed+1)
			assert.Equal(t, table.Connections(), counted, "seed %d", seed+1)
		}
		for id := range ID(30) {
			table.Remove(id)
		}
		assert.Equal(t, table.Taken(), int64(0))
		assert.Equal(t, table.Connections(), 0)
	}
}

// Guards against limits that callers within those of the pages meet on the smallest VM, and
// against ones that leave too little for the rest of the process.
func TestLimitsOfVMs(t *testing.T) {
	smallest := ConfigFor(DefaultMemory, DefaultDescriptors)
	assert.Assert(t, smallest.Connections >= 1000)
	assert.Equal(t, ConfigFor(284<<20, DefaultDescriptors).Connections, 1300)
	// Ten queries to 180 shards, the most on any deployment, at a time.
	assert.Assert(t, smallest.LeafRequests >= 10*180)
	// Ten requests with a body of 256 KB and a head of 16 KB in short lines at a time.
	assert.Assert(t, smallest.Memory >= 10*(2*256<<10+3000*256+2*16<<10))
	for _, memory := range []int64{32 << 20, 64 << 20, 284 << 20, 536 << 20} {
		for _, descriptors := range []int{256, 400, 4100, 8192} {
			c := ConfigFor(memory, descriptors)
			assert.Assert(t, c.Connections > 0 && c.LeafRequests > 0 && c.Connections+c.LeafRequests < descriptors-reservedDescriptors)
			assert.Assert(t, int64(c.Connections)*ConnectionMemory+c.Memory <= memory/2)
		}
	}
}
