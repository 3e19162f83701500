package control

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcctx"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// TestSilentConnections guards against calls that try one pooled connection after the other, with a timeout each, when
// the open connections to a host have fallen silent together and new ones work.
func TestSilentConnections(t *testing.T) {
	const pooled = 4
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var silenced sync.Map // the connections that are silent
	var opened sync.WaitGroup
	opened.Add(pooled)
	var calls, unanswered atomic.Int32
	m := wire.NewMux()
	wire.Unary(m, MethodDocument, wire.Operators, func(ctx context.Context, _ *Document) (*DocumentReply, error) {
		c, _ := drpcctx.Transport(ctx)
		if calls.Add(1) <= pooled {
			silenced.Store(c, true)
			opened.Done()
			opened.Wait()
			return &DocumentReply{}, nil
		}
		if _, ok := silenced.Load(c); ok {
			unanswered.Add(1)
			<-ctx.Done()
		}
		return &DocumentReply{Version: 7}, nil
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = m.Serve(ctx, l) }()
	c := &Client{Wire: wire.NewClient(nil), Hosts: []netip.AddrPort{l.Addr().(*net.TCPAddr).AddrPort()}, Clock: clockwork.NewRealClock()}
	defer c.Wire.Close()
	var fill sync.WaitGroup
	for range pooled {
		fill.Go(func() { _, _ = c.Document(ctx) })
	}
	fill.Wait()
	r, err := c.Document(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Version, qt.Equals, uint64(7))
	qt.Assert(t, unanswered.Load(), qt.Equals, int32(1))
}
