package harness

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// partitionProxy forwards TCP connections to a target address. While it is
// blocked, connections stay open but no data is forwarded, as in a network
// partition.
type partitionProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// unblocked is closed while data is forwarded.
	unblocked chan struct{}
}

// startPartitionProxy starts the proxy in front of the platform if
// Options.PartitionedZone is set.
func (c *Cluster) startPartitionProxy() error {
	if c.opts.PartitionedZone == "" {
		return nil
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.0.2:%d", c.Fleet.Net, standin.PortPlatform))
	if err != nil {
		return err
	}
	unblocked := make(chan struct{})
	close(unblocked)
	c.partition = &partitionProxy{listener: ln, target: strings.TrimPrefix(c.Fleet.PlatformURL(), "http://"), unblocked: unblocked}
	go c.partition.serve()
	return nil
}

// platformURL returns the URL at which a VM reaches the platform.
func (c *Cluster) platformURL(vm int) string {
	if c.partition != nil && c.Fleet.VMs[vm].GetZone() == c.opts.PartitionedZone {
		return "http://" + c.partition.listener.Addr().String()
	}
	return c.Fleet.PlatformURL()
}

// SetPartitioned partitions Options.PartitionedZone from the platform, or
// restores the connection.
func (c *Cluster) SetPartitioned(partitioned bool) {
	c.partition.mu.Lock()
	defer c.partition.mu.Unlock()
	if partitioned {
		c.partition.unblocked = make(chan struct{})
		return
	}
	close(c.partition.unblocked)
}

func (f *partitionProxy) serve() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(in)
	}
}

func (f *partitionProxy) forward(in net.Conn) {
	f.waitUnblocked()
	out, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	go f.copyOneWay(in, out)
	f.copyOneWay(out, in)
}

// copyOneWay copies data in one direction and closes both connections when
// either fails.
func (f *partitionProxy) copyOneWay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.waitUnblocked()
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (f *partitionProxy) waitUnblocked() {
	f.mu.Lock()
	unblocked := f.unblocked
	f.mu.Unlock()
	<-unblocked
}

func (f *partitionProxy) close() { _ = f.listener.Close() }
