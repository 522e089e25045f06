package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// lastPort is the last port that was assigned. Ports are below the ephemeral port
// range, so that the ports of a process are still free when it restarts.
var lastPort atomic.Int64

func init() { lastPort.Store(12000 + int64(os.Getpid()%150)*100) }

func freeAddress(t *testing.T) string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		if ln, err := net.Listen("tcp", addr); err == nil {
			assert.NilError(t, ln.Close())
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}
