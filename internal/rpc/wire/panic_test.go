package wire

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPanicEndsOnlyItsCall guards against a malformed message whose handler panics and
// takes the whole process down.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	m := NewMux()
	var panicked string
	m.OnPanic = func(method string, _ any, _ []byte) { panicked = method }
	Unary(m, "/test/Echo", nil, func(_ context.Context, in *sample) (*sample, error) {
		return &sample{Name: in.Name[:4]}, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- m.Serve(ctx, l) }()
	c := NewClient(nil)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	_, err = Call[sample](ctx, c, address, "/test/Echo", &sample{Name: "a"})
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, panicked, qt.Equals, "/test/Echo")
	out, err := Call[sample](ctx, c, address, "/test/Echo", &sample{Name: "whole"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.Name, qt.Equals, "whol")
	qt.Assert(t, c.Close(), qt.IsNil)
	stop()
	qt.Assert(t, <-served, qt.IsNil)
}
