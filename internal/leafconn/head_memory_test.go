package leafconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Load pattern: many leaves send heads of short lines and stop before the end. Guards against heads
// that take more memory than is counted for them.
func TestHeadsTakeNoMoreThanIsCounted(t *testing.T) {
	const leaves = 20
	var lines strings.Builder
	for i := 0; lines.Len() < 60_000; i++ {
		fmt.Fprintf(&lines, "x%d:\r\n", i)
	}
	memory := NewMemory(1 << 30)
	released, sent := make(chan struct{}), make(chan struct{}, leaves)
	before := heapInUse()
	for range leaves {
		pool, _ := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
			read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+lines.String())
			sent <- struct{}{}
			<-released
		})
		r := &Request{Method: "GET", Target: "/", Host: "h", Memory: memory.Reserve("route", 1)}
		go func() {
			_, _ = pool.Exchange(t.Context(), r, time.Now().Add(time.Minute), nil)
		}()
	}
	for range leaves {
		<-sent
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if memory.Taken() < leaves*headMemoryFactor*60_000 {
			return poll.Continue("%d bytes counted", memory.Taken())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	taken, counted := heapInUse()-before, memory.Taken()
	close(released)
	t.Logf("%d KB in use, %d KB counted", taken>>10, counted>>10)
	assert.Assert(t, taken <= counted)
}

// heapInUse returns the bytes of the heap that are in use.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
