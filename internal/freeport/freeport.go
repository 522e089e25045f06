// Package freeport assigns loopback addresses to test processes. It is used by tests only.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are below the ephemeral range of Linux, from which listeners on port 0 and outgoing
// connections get theirs: such a port can be taken by another test between its choice and its
// use, or while its process restarts.
const (
	firstPort = 10000
	ports     = 22000
	// blockSize is the number of ports that an assigner claims at once.
	blockSize = 250
	// maxAttempts bounds the search for a free block.
	maxAttempts = 1000
)

var process assigner

// Address returns an address on which nobody listens. It is not returned again, neither to
// this process nor to another one while this one runs.
func Address() (string, error) { return process.address() }

// assigner assigns the ports of blocks that it has claimed. It is safe for concurrent use.
type assigner struct {
	mu sync.Mutex
	// next and end are the next port of the current block and the one after its last.
	next, end int
	// claims are listeners on the first port of each block, which keep others from it.
	claims []net.Listener
}

func (a *assigner) address() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			if err := a.claimBlock(); err != nil {
				return "", err
			}
		}
		addr := loopback(a.next)
		a.next++
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, errors.Wrapf(ln.Close(), "close the listener on %s", addr)
		}
	}
}

func (a *assigner) claimBlock() error {
	for range maxAttempts {
		first := firstPort + rand.IntN(ports/blockSize)*blockSize
		if ln, err := net.Listen("tcp", loopback(first)); err == nil {
			a.claims = append(a.claims, ln)
			a.next, a.end = first+1, first+blockSize
			return nil
		}
	}
	return errors.Errorf("no free block of ports after %d attempts", maxAttempts)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
