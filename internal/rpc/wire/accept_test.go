package wire

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// failingListener fails some calls of Accept with an error before it accepts connections.
type failingListener struct {
	net.Listener
	failures int
	err      error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

// TestFailuresToAccept guards against a process that ends because it was out of file descriptors for
// a moment, or a peer gave up while its connection was accepted, and against hiding that a
// listener is closed.
func TestFailuresToAccept(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		served bool
	}{
		{"out of file descriptors", syscall.EMFILE, true},
		{"system out of file descriptors", syscall.ENFILE, true},
		{"aborted by the peer", syscall.ECONNABORTED, true},
		{"listener closed", net.ErrClosed, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := NewMux()
			Unary(m, "/test/Echo", nil, func(_ context.Context, in *sample) (*sample, error) { return in, nil })
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- m.Serve(ctx, &failingListener{Listener: l, failures: 3, err: test.err}) }()
			if test.served {
				c := NewClient(nil)
				call, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				_, err = Call[sample](call, c, l.Addr().(*net.TCPAddr).AddrPort(), "/test/Echo", &sample{Name: "a"})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, c.Close(), qt.IsNil)
				stop()
				qt.Assert(t, <-served, qt.IsNil)
				return
			}
			qt.Assert(t, errors.Is(<-served, test.err), qt.IsTrue)
			stop()
		})
	}
}
