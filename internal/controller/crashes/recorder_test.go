package crashes

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/discovery"
)

// TestBreaksAreLoggedWithTheirPrompts guards against logs that do not show whether a target
// ended, and which parts of a prompt the requests at its end had.
func TestBreaksAreLoggedWithTheirPrompts(t *testing.T) {
	listening, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer listening.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed.Close()
	tests := []struct {
		name    string
		address net.Addr
		ended   bool
	}{
		{"target that ended", closed.Addr(), true},
		{"target that listens", listening.Addr(), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewRealClock()
			lines, logged := memory.New(), make(chan struct{})
			logger := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
				if e.Message == "target broke off a response" {
					defer close(logged)
				}
				return lines.HandleLog(e)
			})}
			table := &discovery.Table{Clock: clock, Logger: logger}
			instance := rhubarbgate.Instance{ID: "i", Service: "lm", Address: netip.MustParseAddrPort(test.address.String())}
			table.Update([]rhubarbgate.Instance{instance}, clock.Now())
			r := NewRecorder(table, nil, clock, logger, new(expvar.Map).Init())
			r.RecordBreak(Break{Target: table.Target(instance), Parts: []string{"a", "b"}, Answering: time.Second, At: clock.Now(), Fields: log.Fields{"request": "r1"}})
			ctx, stop := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				r.Run(ctx)
			}()
			<-logged
			stop()
			<-stopped
			e := lines.Entries[len(lines.Entries)-1]
			qt.Assert(t, e.Message, qt.Equals, "target broke off a response")
			qt.Assert(t, e.Fields["targetEnded"], qt.Equals, test.ended)
			qt.Assert(t, e.Fields["parts"], qt.DeepEquals, []string{"a", "b"})
			qt.Assert(t, e.Fields["answering"], qt.Equals, "1s")
			qt.Assert(t, e.Fields["request"], qt.Equals, "r1")
			qt.Assert(t, r.Ended.Value() == 1, qt.Equals, test.ended)
		})
	}
}
