package harness

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// forwarder passes TCP connections on to an address. While it is cut it keeps
// connections open and passes nothing, as a lossy link does.
type forwarder struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	open chan struct{} // closed while bytes pass
}

// startForwarder listens in front of the platform if a zone can be cut off.
func (c *Cluster) startForwarder() error {
	if c.opts.PartitionedZone == "" {
		return nil
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.2:%d", c.Fleet.Net, standin.PortPlatform))
	if err != nil {
		return err
	}
	open := make(chan struct{})
	close(open)
	c.cut = &forwarder{listener: ln, target: strings.TrimPrefix(c.Fleet.PlatformURL(), "http://"), open: open}
	go c.cut.serve()
	return nil
}

// platformURL is where a VM reaches the platform.
func (c *Cluster) platformURL(vm int) string {
	if c.cut != nil && c.Fleet.VMs[vm].GetZone() == c.opts.PartitionedZone {
		return "http://" + c.cut.listener.Addr().String()
	}
	return c.Fleet.PlatformURL()
}

// SetPartitioned cuts the zone of Options.CutZone off from the platform, or ends that.
func (c *Cluster) SetPartitioned(off bool) {
	c.cut.mu.Lock()
	defer c.cut.mu.Unlock()
	if off {
		c.cut.open = make(chan struct{})
		return
	}
	close(c.cut.open)
}

func (f *forwarder) serve() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.connect(in)
	}
}

func (f *forwarder) connect(in net.Conn) {
	f.wait()
	out, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	go f.pass(in, out)
	f.pass(out, in)
}

// pass copies one direction and closes both ends after it.
func (f *forwarder) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.wait()
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (f *forwarder) wait() {
	f.mu.Lock()
	open := f.open
	f.mu.Unlock()
	<-open
}

func (f *forwarder) close() { _ = f.listener.Close() }
