package wire

import (
	"expvar"
	"net"
	"syscall"
)

// Traffic counts the bytes of a process's connections to other processes of the
// fleet, below TLS.
type Traffic struct{ Received, Sent expvar.Int }

// NewTraffic adds the counters to m.
func NewTraffic(m *expvar.Map) *Traffic {
	t := &Traffic{}
	m.Set("BytesReceived", &t.Received)
	m.Set("BytesSent", &t.Sent)
	return t
}

// Listener counts the connections that l accepts; a nil t counts nothing.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &countedListener{l, t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.conn(c), nil
}

func (t *Traffic) conn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{c, t}
}

// AsSyscallConn returns the connection below the counting, if it has a descriptor.
func AsSyscallConn(c net.Conn) (syscall.Conn, bool) {
	if x, ok := c.(*countedConn); ok {
		c = x.Conn
	}
	s, ok := c.(syscall.Conn)
	return s, ok
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
