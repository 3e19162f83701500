package socket

import (
	"context"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// dialed is the result of one connection attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// Redial opens a TCP connection. While an attempt has no result it starts another one each
// interval, and returns the first connection that opens: the opening packet to a host that
// is still off, or over a link that loses packets, is sent again by the kernel only after a
// second. An attempt that fails ends the others. ctx or the dialer's timeout bounds them all.
func Redial(ctx context.Context, clock clockwork.Clock, d *net.Dialer, interval time.Duration, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	attempts, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan dialed)
	start := func() {
		go func() {
			c, err := d.DialContext(attempts, "tcp", address)
			select {
			case results <- dialed{c, err}:
			case <-attempts.Done():
				if c != nil {
					c.Close()
				}
			}
		}()
	}
	start()
	t := clock.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case r := <-results:
			return r.conn, errors.Trace(r.err)
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-t.Chan():
			start()
		}
	}
}
