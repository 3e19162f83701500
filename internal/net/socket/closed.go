package socket

import (
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Closed reports whether the peer has closed the connection. It only peeks, so that it consumes no bytes, and
// returns false for a connection without a file descriptor.
func Closed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open := n > 0 || errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = !open
	})
	return err != nil || closed
}
