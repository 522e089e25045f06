package gateway

import "net"

// callerListener accepts the connections of callers.
type callerListener struct {
	*net.TCPListener
	callers *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return l.callers.accept(raw), nil
}
