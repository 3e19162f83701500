package ingress

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// errCallerLeft is the cause with which the work for a caller that closed its
// connection is cancelled.
const errCallerLeft = errors.ConstError("the caller closed its connection")

// watchCaller cancels when the caller closes its connection, without taking
// bytes of a next request. The returned function ends the watch.
func (s *Server) watchCaller(c net.Conn, cancel context.CancelCauseFunc) func() {
	t, ok := wire.AsSyscallConn(c)
	if !ok {
		return func() {}
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return func() {}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if closed(raw) {
			s.Counts.CallersLeft.Add(1)
			cancel(errCallerLeft)
		}
	}()
	return func() {
		// A deadline in the past wakes the watch; an error means that the
		// connection is closed, which wakes it too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}
}

// closed waits until the connection has bytes or an end, and reports an end.
func closed(raw syscall.RawConn) bool {
	gone := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		gone = err != nil || n == 0
		return true
	})
	return err == nil && gone
}
