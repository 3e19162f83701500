package entry

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// TestOnlyTheSideBesideATargetConfirmsIt guards against using a new instance at an address
// that may have gone to another service.
func TestOnlyTheSideBesideATargetConfirmsIt(t *testing.T) {
	target := netip.MustParseAddrPort("127.0.0.1:8220")
	tests := []struct {
		name  string
		reply *side.ContinuityReply // nil if no side listens
		want  bool
	}{
		{"in use for a minute", &side.ContinuityReply{InUse: time.Minute}, true},
		{"not known, or of another target", &side.ContinuityReply{}, false},
		{"malformed", &side.ContinuityReply{InUse: -time.Minute}, false},
		{"no side", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			if test.reply == nil {
				l.Close()
			} else {
				mux := wire.NewMux()
				wire.Unary(mux, side.MethodContinuity, wire.Entries, func(_ context.Context, in *side.Continuity) (*side.ContinuityReply, error) {
					qt.Check(t, in.Target, qt.Equals, target)
					return test.reply, nil
				})
				go func() { _ = mux.Serve(ctx, l) }()
			}
			clock := clockwork.NewFakeClock()
			d := &Direct{Wire: wire.NewClient(nil), Clock: clock, SidePort: l.Addr().(*net.TCPAddr).AddrPort().Port()}
			since, known := d.continuity(ctx, target)
			qt.Assert(t, known, qt.Equals, test.want)
			if known {
				qt.Assert(t, clock.Since(since), qt.Equals, time.Minute)
			}
		})
	}
}
