// Package socket opens TCP sockets with options that detect dead peers within seconds.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within 4 s that the
	// peer of an idle connection is gone.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Dialer returns a dialer that sets these options and bounds the time to connect.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// Listen listens on a TCP address; accepted connections have these options.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
	l, err := c.Listen(context.Background(), "tcp", address)
	return l, errors.Trace(err)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Accepted connections inherit it from
// the listening socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optErr)
}
