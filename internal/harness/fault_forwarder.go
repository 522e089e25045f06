package harness

import (
	"net"
	"sync"
)

// Direction names one way through a Forwarder.
type Direction int

// Directions of a Forwarder.
const (
	ToServer Direction = iota
	FromServer
)

// Forwarder passes TCP connections on to an address. It can make open
// connections silent without closing them, while new ones work.
type Forwarder struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs []*forwarded
}

// forwarded is one connection with its way on.
type forwarded struct {
	client, server net.Conn
	// silent is closed for a direction that passes nothing on any more.
	silent [2]chan struct{}
	once   [2]sync.Once
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

// Silence makes the open connections silent in the given directions and
// returns how many there are.
func (f *Forwarder) Silence(directions ...Direction) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		for _, d := range directions {
			p.once[d].Do(func() { close(p.silent[d]) })
		}
	}
	return len(f.pairs)
}

// Opened returns how many connections there have been.
func (f *Forwarder) Opened() int {
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
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &forwarded{client: client, server: server, silent: [2]chan struct{}{make(chan struct{}), make(chan struct{})}}
		f.mu.Lock()
		f.pairs = append(f.pairs, p)
		f.mu.Unlock()
		go p.copy(client, server, ToServer)
		go p.copy(server, client, FromServer)
	}
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

// RelayThrough puts a forwarder before a VM's relay: it becomes the relay's
// address in the platform's VM list.
func (c *Cluster) RelayThrough(vm int) (*Forwarder, error) {
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
