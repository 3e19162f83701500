package discovery

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// TestHasEnded guards against overlooking the end of a target because an opening packet was
// lost, or because the target was still up a moment before, and against taking silence for an end.
func TestHasEnded(t *testing.T) {
	tests := []struct {
		name      string
		upBefore  bool  // the target was up, and checked, a moment before
		listening bool  // it is up now
		lost      int32 // opening packets that are lost
		want      bool
	}{
		{"up", true, true, 0, false},
		{"down", false, false, 0, true},
		{"down since a moment ago", true, false, 0, true},
		{"down, and a packet is lost", false, false, 1, true},
		{"silent", false, false, 1 << 30, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			var attempts atomic.Int32
			clock := clockwork.NewRealClock()
			table := &Table{Clock: clock, Logger: &log.Logger{Handler: discard.New()}, Dialer: &net.Dialer{
				Timeout: 500 * time.Millisecond,
				ControlContext: func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
					if attempts.Add(1) <= test.lost {
						<-ctx.Done()
						return ctx.Err()
					}
					return nil
				},
			}}
			i := rhubarbgate.Instance{ID: "i", Address: l.Addr().(*net.TCPAddr).AddrPort()}
			table.Update([]rhubarbgate.Instance{i}, clock.Now())
			if test.upBefore {
				qt.Assert(t, table.HasEnded(context.Background(), table.Target(i)), qt.IsFalse)
			}
			if !test.listening {
				l.Close()
			}
			qt.Assert(t, table.HasEnded(context.Background(), table.Target(i)), qt.Equals, test.want)
		})
	}
}
