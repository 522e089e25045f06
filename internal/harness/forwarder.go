package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of traffic through a Forwarder.
type Direction int

// Directions of traffic.
const (
	ToServer Direction = iota
	FromServer
)

// Forwarder forwards TCP connections to a target address and injects network
// faults: it drops the traffic of open connections without closing them while new
// connections work, delays traffic, resets open connections, or accepts new
// connections without forwarding them.
type Forwarder struct {
	listener net.Listener
	target   string
	// delay is added before each write, as a time.Duration.
	delay atomic.Int64
	// holding is true while new connections are accepted but not forwarded.
	holding atomic.Bool

	mu    sync.Mutex
	conns []*forwardedConn
}

// forwardedConn is one accepted connection with the connection to the target.
type forwardedConn struct {
	client, server net.Conn
	// dropping and once are indexed by Direction. The channel of a direction is
	// closed when its traffic is dropped.
	dropping [2]chan struct{}
	once     [2]sync.Once
	delay    *atomic.Int64
}

// NewForwarder listens on an address and forwards connections to the target.
func NewForwarder(listen, target string) (*Forwarder, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: ln, target: target}
	go f.accept()
	return f, nil
}

// Address returns the address on which the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// DropTraffic drops the traffic of all connections accepted so far in the given
// directions, without closing them. It returns the number of these connections.
func (f *Forwarder) DropTraffic(directions ...Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		for _, d := range directions {
			conn.once[d].Do(func() { close(conn.dropping[d]) })
		}
	}
	return len(f.conns)
}

// SetDelay sets the delay of traffic in both directions, also on open connections.
func (f *Forwarder) SetDelay(d time.Duration) { f.delay.Store(int64(d)) }

// HoldNewConnections sets whether new connections are accepted without being
// forwarded.
func (f *Forwarder) HoldNewConnections(hold bool) { f.holding.Store(hold) }

// Reset resets all open connections.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		for _, c := range []net.Conn{conn.client, conn.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		conn.close()
	}
}

// ConnectionCount returns the number of connections accepted so far.
func (f *Forwarder) ConnectionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close closes the listener and all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.conns {
		conn.close()
	}
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.holding.Load() {
			f.keepUnforwarded(client)
			continue
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		conn := &forwardedConn{client: client, server: server, dropping: [2]chan struct{}{make(chan struct{}), make(chan struct{})}, delay: &f.delay}
		f.mu.Lock()
		f.conns = append(f.conns, conn)
		f.mu.Unlock()
		go conn.copy(client, server, ToServer)
		go conn.copy(server, client, FromServer)
	}
}

// keepUnforwarded keeps a connection open without forwarding it, until Close or
// Reset. It has no connection to the target, so server is the client connection.
func (f *Forwarder) keepUnforwarded(client net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, &forwardedConn{client: client, server: client, dropping: [2]chan struct{}{make(chan struct{}), make(chan struct{})}})
}

// copy forwards data in one direction. If the traffic of the direction is
// dropped, it reads and discards data and doesn't forward the close of the
// connection.
func (c *forwardedConn) copy(from, to net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.dropping[d]:
			if err != nil {
				return
			}
			continue
		default:
		}
		if delay := time.Duration(c.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (c *forwardedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// ForwardRelay starts a forwarder in front of the relay on a VM and publishes the
// forwarder's address as that of the relay in the platform's VM list.
func (c *Cluster) ForwardRelay(vm int) (*Forwarder, error) {
	v := c.Fleet.VMs[vm]
	host, _, err := net.SplitHostPort(v.GetRelayAddress())
	if err != nil {
		return nil, err
	}
	f, err := NewForwarder(net.JoinHostPort(host, "0"), v.GetRelayAddress())
	if err != nil {
		return nil, err
	}
	return f, c.control("/vm", []string{"id", v.GetId(), "action", "relay", "address", f.Address()})
}
