package leafconn

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// smallVMBytes is the memory that 50 leaves without end may make a VM use: a small VM
// has 184 MB, and it needs a part for its other work.
const smallVMBytes = 160 << 20

// Load pattern: leaves send bytes that are no answer until the connection is closed, in
// a head or a body, at full speed or slowly. Guards against a VM that runs out of
// memory, against a request that does not end in its time, and against a connection
// that stays open.
func TestBytesWithoutEnd(t *testing.T) {
	long := strings.Repeat("x", 32<<10)
	rows := map[string]struct {
		first, repeat string
		pause         time.Duration
	}{
		"status line":           {"HTTP/1.1 200 ", long, 0},
		"header line":           {"HTTP/1.1 200 OK\r\nA: ", long, 0},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n", 0},
		"slow header line":      {"HTTP/1.1 200 OK\r\nA: ", "x", 10 * time.Millisecond},
		"body without a length": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", long, 0},
		"slow body":             {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x", 10 * time.Millisecond},
		"chunks":                {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + long + "\r\n", 0},
		"chunk header":          {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", long, 0},
		"trailers":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: " + long + "\r\n", 0},
		"huge length":           {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8388608\r\n\r\n", "x", 10 * time.Millisecond},
		"interim replies":       {"", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		"replies to others":     {"", reply("0", long), 0},
		"body of another":       {"HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", long, 0},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			const leaves, timeout = 50, 300 * time.Millisecond
			var opened, closed atomic.Int64
			memory := NewMemory(ReplyMemory)
			stop := watchHeap(t)
			var g sync.WaitGroup
			for range leaves {
				pool, _ := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
					opened.Add(1)
					defer closed.Add(1)
					read(r)
					_, err := io.WriteString(c, row.first)
					for err == nil {
						time.Sleep(row.pause)
						_, err = io.WriteString(c, row.repeat)
					}
				})
				g.Go(func() {
					start := time.Now()
					reservation := memory.Reserve("route", 1)
					defer reservation.Release()
					_, err := exchangeWith(pool, "1", timeout, reservation)
					assert.Check(t, err != nil)
					assert.Check(t, time.Since(start) < timeout+time.Second, "took %v", time.Since(start))
				})
			}
			g.Wait()
			assert.Assert(t, opened.Load() > 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if closed.Load() < opened.Load() {
					return poll.Continue("%d of %d connections are closed", closed.Load(), opened.Load())
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			assert.Assert(t, stop() < smallVMBytes)
			assert.Equal(t, memory.Taken(), int64(0))
		})
	}
}

// watchHeap samples the memory of the heap until the returned function is called, which
// returns the largest sample in bytes.
func watchHeap(t *testing.T) (stop func() uint64) {
	runtime.GC()
	var peak atomic.Uint64
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
			select {
			case <-quit:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(quit)
		<-done
		t.Logf("heap %d MB", peak.Load()>>20)
		return peak.Load()
	}
}

// Guards against a caller that gets a second copy of an answer to an earlier request
// on a connection that is in use again. Each row is what follows the complete reply to
// request "1", before or after the leaf has read request "2".
func TestSecondCopyReachesNoOtherRequest(t *testing.T) {
	named, unnamed := reply("1", "first"), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	rows := []struct {
		name string
		// before is sent right after the reply, or a little later if late is set;
		// after is sent when request "2" has been read.
		before, after string
		late          bool
	}{
		{"named, at once", named, "", false},
		{"named, late", named, "", true},
		{"named, after the next request", "", named, false},
		{"unnamed, at once", unnamed, "", false},
		{"unnamed, late", unnamed, "", true},
		{"unnamed, after the next request", "", unnamed, false},
		{"unnamed without a length, after the next request", "", "HTTP/1.1 200 OK\r\n\r\nfirst", false},
		{"half, at once", named[:len(named)/2], "", false},
		{"half before, half after the next request", named[:len(named)/2], named[len(named)/2:], true},
		{"body only, after the next request", "", "first", false},
		{"unnamed failure, after the next request", "", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			pool, _ := fakeLeaf(t, func(n int, c net.Conn, r *bufio.Reader) {
				for {
					id, _ := read(r)
					if id == "" {
						return
					}
					if id == "1" {
						_, _ = io.WriteString(c, reply(id, "first"))
						if row.late {
							time.Sleep(time.Millisecond)
						}
						_, _ = io.WriteString(c, row.before)
						continue
					}
					if n == 1 {
						_, _ = io.WriteString(c, row.after)
					}
					_, _ = io.WriteString(c, reply(id, "answer to "+id))
				}
			})
			for i := range 20 {
				first, err := exchange(pool, "1", time.Second)
				if err == nil {
					assert.Equal(t, string(first.Body), "first")
				}
				if i%2 == 0 {
					time.Sleep(2 * time.Millisecond)
				}
				next, err := exchange(pool, "2", time.Second)
				if err == nil {
					assert.Equal(t, string(next.Body), "answer to 2")
					assert.Equal(t, next.Status, 200)
				}
			}
			// The pool recovers: the leaf answers correctly on new connections.
			pool.Close()
			next, err := exchange(pool, "3", time.Second)
			assert.NilError(t, err)
			assert.Equal(t, string(next.Body), "answer to 3")
		})
	}
}

// Guards against a head or body without end that is read until the deadline. Only the
// limit ends these replies before it.
func TestReplyEndsAtItsLimit(t *testing.T) {
	long := strings.Repeat("x", 32<<10)
	for name, row := range map[string]struct{ first, repeat string }{
		"status line":           {"HTTP/1.1 200 ", long},
		"header line":           {"HTTP/1.1 200 OK\r\nA: ", long},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n"},
		"body without a length": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", long},
		"chunks":                {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + long + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			pool, _ := fakeLeaf(t, func(_ int, c net.Conn, r *bufio.Reader) {
				read(r)
				_, err := io.WriteString(c, row.first)
				for err == nil {
					var n int
					n, err = io.WriteString(c, row.repeat)
					sent.Add(int64(n))
				}
			})
			const timeout = 30 * time.Second
			start := time.Now()
			_, err := exchange(pool, "1", timeout)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(start) < timeout/2, "took %v", time.Since(start))
			// What the limit allows, and the socket buffers.
			assert.Assert(t, sent.Load() < maxFramedBodyBytes+16<<20, "%d bytes sent", sent.Load())
		})
	}
}
