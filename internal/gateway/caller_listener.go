package gateway

import "net"

// callerListener accepts the connections of callers for which there is room and refuses the
// others.
type callerListener struct {
	*net.TCPListener
	callers *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if conn := l.callers.accept(raw); conn != nil {
			return conn, nil
		}
	}
}
