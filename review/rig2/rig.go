package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/medlarswitch/medlarswitch/platform/standin"
)

// stableWindow is stable_window_ms of the users' pages.
const stableWindow = 4 * time.Second

// rig is what a case consists of.
type rig struct {
	node, dir string
	// temporary is true if dir is removed at the end.
	temporary bool
	// host is the loopback address of the VMs, another one in each run, so that runs at the
	// same time do not take each other's ports.
	host    string
	trouble bool
	started time.Time
	store   *store
	vms     []*vm
	leaves  []*standin.Leaf
	// ending is true once no further process may be started.
	ending atomic.Bool

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
	// ports are those that have been given out.
	ports map[int]bool
}

func newRig(node, dir, record string, trouble bool) (*rig, error) {
	if _, err := os.Stat(node); err != nil {
		return nil, err
	}
	temporary := dir == ""
	if temporary {
		var err error
		if dir, err = os.MkdirTemp("", "rig2-"); err != nil {
			return nil, err
		}
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{
		node: node, dir: dir, temporary: temporary, host: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250)), trouble: trouble, started: time.Now(), file: file, record: bufio.NewWriter(file),
		ports: make(map[int]bool),
	}
	r.log("trouble %t", trouble)
	r.store, err = newStore(r)
	return r, err
}

// maxRun limits a run, which may take 120 s.
const maxRun = 110 * time.Second

// endOnSignal ends the processes of the case and this one after a signal, or after maxRun.
func (r *rig) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			r.log("ended by signal %s", s)
		case <-time.After(maxRun):
			r.log("not complete after %s", maxRun)
		}
		r.endProcesses()
		os.Exit(exitFailed)
	}()
}

// endProcesses ends the VMs and removes their files.
func (r *rig) endProcesses() {
	r.ending.Store(true)
	for _, v := range r.vms {
		v.kill()
	}
	if r.temporary {
		_ = os.RemoveAll(r.dir)
	}
}

// close ends all processes and servers that the case started.
func (r *rig) close() {
	r.endProcesses()
	r.store.close()
	for _, leaf := range r.leaves {
		leaf.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.record.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}

// log writes a line of the record, and to standard output.
func (r *rig) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Print(line)
	_, _ = r.record.WriteString(line)
}

// note writes a line of the record with a time of its own.
func (r *rig) note(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", at.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// The ports of the VMs are below those that the system gives to outgoing connections, so
// that a VM which starts again finds its ports free.
const (
	minPort      = 15000
	portCount    = 16000
	portAttempts = 100
)

// freeAddress returns a loopback address with a free port.
func (r *rig) freeAddress() (string, error) {
	for range portAttempts {
		port := minPort + rand.IntN(portCount)
		addr := net.JoinHostPort(r.host, strconv.Itoa(port))
		if r.ports[port] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		r.ports[port] = true
		return addr, ln.Close()
	}
	return "", errors.New("no free port")
}

// addLeaf starts a leaf and registers it.
func (r *rig) addLeaf(id, service, zone string, b standin.Behaviour) *standin.Leaf {
	leaf := standin.NewLeaf(id, service, zone, b)
	r.leaves = append(r.leaves, leaf)
	r.store.inner.Put("servers", id, leaf.Entry())
	return leaf
}
