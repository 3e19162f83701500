package entry

import (
	"context"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// TestOnlyTheSideBesideATargetConfirmsIt guards against using a new instance at an address
// that may have gone to another service.
func TestOnlyTheSideBesideATargetConfirmsIt(t *testing.T) {
	target := netip.MustParseAddrPort("127.0.0.1:8220")
	tests := []struct {
		name  string
		reply *side.BesideReply // nil if no side listens
		want  bool
	}{
		{"beside, service known", &side.BesideReply{Yes: true, Service: "lm"}, true},
		{"beside, not listed", &side.BesideReply{Yes: true}, true},
		{"beside, of another service", &side.BesideReply{Yes: true, Service: "app"}, false},
		{"of another target", &side.BesideReply{Service: "lm"}, false},
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
				wire.Unary(mux, side.MethodBeside, wire.Entries, func(_ context.Context, in *side.Beside) (*side.BesideReply, error) {
					qt.Check(t, in.Target, qt.Equals, target)
					return test.reply, nil
				})
				go func() { _ = mux.Serve(ctx, l) }()
			}
			d := &Direct{Wire: wire.NewClient(nil), Clock: clockwork.NewFakeClock(), SidePort: l.Addr().(*net.TCPAddr).AddrPort().Port()}
			got := d.confirm(ctx, rhubarbgate.Instance{ID: "i", Service: "lm", Address: target})
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
