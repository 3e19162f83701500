package wire

import (
	"expvar"
	"net"
	"syscall"
)

// Traffic counts the bytes that a process exchanges with other processes of the fleet,
// on the TCP connection: TLS overhead is included.
type Traffic struct{ Received, Sent expvar.Int }

// NewTraffic returns a Traffic whose counters are published in m.
func NewTraffic(m *expvar.Map) *Traffic {
	t := &Traffic{}
	m.Set("BytesReceived", &t.Received)
	m.Set("BytesSent", &t.Sent)
	return t
}

// Listener returns a listener that counts the bytes of the connections accepted by l. A
// nil t returns l itself.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	if t == nil {
		return l
	}
	return &countingListener{l, t}
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrapConn(c), nil
}

// wrapConn returns c with its bytes counted. A nil t returns c itself.
func (t *Traffic) wrapConn(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countingConn{c, t}
}

// AsSyscallConn returns c, without the wrapper that counts its bytes, as a syscall.Conn.
// It returns false if c has no file descriptor.
func AsSyscallConn(c net.Conn) (syscall.Conn, bool) {
	if x, ok := c.(*countingConn); ok {
		c = x.Conn
	}
	s, ok := c.(syscall.Conn)
	return s, ok
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
