package ingress

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// errCallerDisconnected is the cause of a cancelled Exchange.Context if the caller closed
// its connection.
const errCallerDisconnected = errors.ConstError("the caller closed its connection")

// watchCaller calls cancel when the caller closes its connection. It only peeks, so that
// it consumes no bytes of a next request, and it stops watching when some arrive. The
// returned function ends the watch.
func (s *Server) watchCaller(c net.Conn, cancel context.CancelCauseFunc) func() {
	t, ok := wire.AsSyscallConn(c)
	if !ok {
		return func() {}
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return func() {}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if waitClosed(raw) {
			s.Counts.DisconnectedCallers.Add(1)
			cancel(errCallerDisconnected)
		}
	}()
	return func() {
		// A read deadline in the past ends the wait of the goroutine. SetReadDeadline
		// fails only if the connection is closed, which ends the wait too.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-stopped
		_ = c.SetReadDeadline(time.Time{})
	}
}

// waitClosed waits until the connection is closed or has bytes to read, and reports
// whether it is closed. An expired read deadline ends the wait, too.
func waitClosed(raw syscall.RawConn) bool {
	ended := false
	err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		ended = err != nil || n == 0
		return true
	})
	return err == nil && ended
}
