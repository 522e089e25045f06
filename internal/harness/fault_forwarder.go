package harness

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction names one way through a Forwarder.
type Direction int

// Directions of a Forwarder.
const (
	ToServer Direction = iota
	FromServer
)

// Forwarder passes TCP connections on to an address. It can make open
// connections silent without closing them, while new ones work, delay or reset
// them, and hold new ones without an answer.
type Forwarder struct {
	listener net.Listener
	target   string
	// delay is added to each piece of bytes, a time.Duration.
	delay atomic.Int64
	// holding is true while new connections are accepted and not passed on.
	holding atomic.Bool

	mu    sync.Mutex
	pairs []*forwarded
}

// forwarded is one connection with its way on.
type forwarded struct {
	client, server net.Conn
	// silent is closed for a direction that passes nothing on any more.
	silent [2]chan struct{}
	once   [2]sync.Once
	delay  *atomic.Int64
}

// NewForwarder listens on an address and passes connections on to the target.
func NewForwarder(listen, target string) (*Forwarder, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: ln, target: target}
	go f.accept()
	return f, nil
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// DropTraffic makes the open connections silent in the given directions and
// returns how many there are.
func (f *Forwarder) DropTraffic(directions ...Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		for _, d := range directions {
			p.once[d].Do(func() { close(p.silent[d]) })
		}
	}
	return len(f.pairs)
}

// SetDelay delays each piece of bytes in both directions.
func (f *Forwarder) SetDelay(d time.Duration) { f.delay.Store(int64(d)) }

// HoldNewConnections accepts new connections without passing them on, as long as it is set.
func (f *Forwarder) HoldNewConnections(on bool) { f.holding.Store(on) }

// Reset ends the open connections with a reset.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	}
}

// ConnectionCount returns how many connections there have been.
func (f *Forwarder) ConnectionCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pairs)
}

// Close ends the listener and all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.close()
	}
}

func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.holding.Load() {
			f.hold(client)
			continue
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &forwarded{client: client, server: server, silent: [2]chan struct{}{make(chan struct{}), make(chan struct{})}, delay: &f.delay}
		f.mu.Lock()
		f.pairs = append(f.pairs, p)
		f.mu.Unlock()
		go p.copy(client, server, ToServer)
		go p.copy(server, client, FromServer)
	}
}

// hold keeps a connection that is not passed on until the forwarder is closed or
// resets its connections.
func (f *Forwarder) hold(client net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pairs = append(f.pairs, &forwarded{client: client, server: client, silent: [2]chan struct{}{make(chan struct{}), make(chan struct{})}})
}

// copy passes bytes on; when the direction is silent it drops them, and also
// the end of the connection.
func (p *forwarded) copy(from, to net.Conn, d Direction) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-p.silent[d]:
			if err != nil {
				return
			}
			continue
		default:
		}
		if d := time.Duration(p.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.close()
			return
		}
	}
}

func (p *forwarded) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

// ForwardRelay puts a forwarder before a VM's relay: it becomes the relay's
// address in the platform's VM list.
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
