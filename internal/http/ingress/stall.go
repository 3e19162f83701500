package ingress

import (
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// stallListener accepts connections whose writes fail when the caller takes no bytes for a
// time. A bound on the whole response would cut sound streams that last longer.
type stallListener struct {
	net.Listener
	clock   clockwork.Clock
	timeout time.Duration
}

// Accept implements net.Listener.
func (l *stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c, listener: l}, nil
}

// stallConn is a connection of a stallListener.
type stallConn struct {
	net.Conn
	listener *stallListener
}

// Write implements net.Conn.
func (c *stallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(c.listener.clock.Now().Add(c.listener.timeout)); err != nil {
		return 0, errors.Trace(err)
	}
	return c.Conn.Write(b)
}

// NetConn returns the connection below.
func (c *stallConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn, so that the connection can be watched.
func (c *stallConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("raw access to %T", c.Conn)
	}
	return s.SyscallConn()
}
