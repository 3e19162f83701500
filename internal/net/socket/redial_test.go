package socket

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// TestRedial guards against a process that waits for the whole timeout, or for the kernel's
// second opening packet, because the first one was lost.
func TestRedial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	// A port in use at which nobody listens refuses, and no other process gets it.
	used, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer used.Close()
	refusing := used.LocalAddr().String()
	tests := []struct {
		name, address string
		lost          int32 // attempts whose opening packet is lost
		attempts      int32 // at least that many are made
		ok            bool
	}{
		{"first attempt", l.Addr().String(), 0, 1, true},
		{"two packets lost", l.Addr().String(), 2, 3, true},
		{"refused", refusing, 0, 1, false},
		{"all lost", l.Addr().String(), 1 << 30, 3, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var attempts atomic.Int32
			d := &net.Dialer{Timeout: 300 * time.Millisecond, ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
				if attempts.Add(1) <= test.lost {
					<-ctx.Done()
					return ctx.Err()
				}
				return nil
			}}
			if test.ok {
				d.Timeout = time.Minute
			}
			c, err := Redial(context.Background(), clockwork.NewRealClock(), d, 10*time.Millisecond, test.address)
			qt.Assert(t, err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
			if c != nil {
				c.Close()
			}
			qt.Assert(t, attempts.Load() >= test.attempts, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()))
		})
	}
}
