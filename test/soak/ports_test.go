package soak

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// nextPort is the last port that was handed out. The ports are below those that
// outgoing connections take, so that a process finds its own ones free again
// when it is started anew.
var nextPort atomic.Int64

func init() { nextPort.Store(12000 + int64(os.Getpid()%150)*100) }

func freeAddress(t *testing.T) string {
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if ln, err := net.Listen("tcp", addr); err == nil {
			assert.NilError(t, ln.Close())
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}
