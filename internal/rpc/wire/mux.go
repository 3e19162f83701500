package wire

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"slices"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
)

// envelope wraps every unary reply, so that errors reach the calling process with their
// code and verdict.
type envelope[T any] struct {
	Err   *rhubarbgate.Error
	Value *T
}

// method is a registered RPC method.
type method struct {
	roles  []Role
	handle func(s drpc.Stream) error
}

// Mux dispatches RPCs by method name. All methods must be registered before Serve.
type Mux struct {
	// OnPanic, if set, is called after a handler panicked.
	OnPanic func(method string, value any, stack []byte)
	// OnTooLarge, if set, is called for a reply that is too large to be sent.
	OnTooLarge func(method string, err *SizeError)
	// Clock paces attempts to accept connections; NewMux sets the real one.
	Clock clockwork.Clock
	// Port, if set, bounds the connections and the memory of their messages.
	Port *account.Port

	methods map[string]method
}

// NewMux returns a Mux without methods.
func NewMux() *Mux {
	return &Mux{Clock: clockwork.NewRealClock(), methods: map[string]method{}}
}

// LogPanics returns a function for Mux.OnPanic that logs to l.
func LogPanics(l log.Interface) func(method string, value any, stack []byte) {
	return func(method string, value any, stack []byte) {
		l.WithField("method", method).WithField("stack", string(stack)).Error(fmt.Sprintf("panic: %v", value))
	}
}

// LogTooLarge returns a function for Mux.OnTooLarge that logs to l.
func LogTooLarge(l log.Interface) func(method string, err *SizeError) {
	return func(method string, err *SizeError) {
		l.WithFields(log.Fields{"method": method, "type": err.Type, "bytes": err.Bytes, "limit": maxSentBytes}).Error("a reply is too large to be sent")
	}
}

// Unary registers a method with one request and one reply. Only peers with one of the
// roles may call it. On connections without TLS the role is not checked.
func Unary[In, Out any](m *Mux, name string, roles []Role, f func(context.Context, *In) (*Out, error)) {
	m.methods[name] = method{roles: roles, handle: func(s drpc.Stream) error {
		in := new(In)
		if err := s.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		out, err := f(s.Context(), in)
		err = s.MsgSend(&envelope[Out]{Err: rhubarbgate.AsError(err), Value: out}, encoding{})
		var tooLarge *SizeError
		if errors.As(err, &tooLarge) {
			if m.OnTooLarge != nil {
				m.OnTooLarge(name, tooLarge)
			}
			err = s.MsgSend(&envelope[Out]{Err: tooLarge.asError(rhubarbgate.MayHaveRun)}, encoding{})
		}
		return err
	}}
}

// ServerStream registers a method with one request and a stream of replies, each sent by
// the last argument of f. Roles are checked as for Unary.
func ServerStream[In, Out any](m *Mux, name string, roles []Role, f func(context.Context, *In, func(*Out) error) error) {
	m.methods[name] = method{roles: roles, handle: func(s drpc.Stream) error {
		in := new(In)
		if err := s.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		return f(s.Context(), in, func(o *Out) error { return s.MsgSend(o, encoding{}) })
	}}
}

// ClientStream registers a method that receives a stream of messages and sends no
// replies. Roles are checked as for Unary.
func ClientStream[In any](m *Mux, name string, roles []Role, f func(context.Context, *In)) {
	m.methods[name] = method{roles: roles, handle: func(s drpc.Stream) error {
		for {
			in := new(In)
			if err := s.MsgRecv(in, encoding{}); err != nil {
				return err
			}
			f(s.Context(), in)
		}
	}}
}

// HandleRPC implements drpc.Handler. It checks the peer's role.
func (m *Mux) HandleRPC(s drpc.Stream, name string) error {
	h, ok := m.methods[name]
	if !ok {
		return errors.NotFoundf("method %q", name)
	}
	if p := PeerFrom(s.Context()); p.TLS && !slices.Contains(h.roles, p.Role) {
		return errors.Forbiddenf("method %q to role %v", name, p.Role)
	}
	return m.recovered(s, name, h)
}

// recovered calls the handler. A panic, such as one that a malformed message causes, ends
// only this call: the process serves others and holds state that a restart would lose.
func (m *Mux) recovered(s drpc.Stream, name string, h method) (err error) {
	defer func() {
		if p := recover(); p != nil {
			if m.OnPanic != nil {
				m.OnPanic(name, p, debug.Stack())
			}
			err = errors.Errorf("method %q: internal error", name)
		}
	}()
	return h.handle(s)
}

// Serve serves RPCs on l until ctx ends or l fails for good, and then waits for the open
// connections to end.
func (m *Mux) Serve(ctx context.Context, l net.Listener) error {
	s := drpcserver.NewWithOptions(m, drpcserver.Options{Manager: managerOptions()})
	var g conc.WaitGroup
	defer g.Wait()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if socket.IsShortage(err) {
			select {
			case <-ctx.Done():
			case <-m.Clock.After(socket.AcceptPause):
			}
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		metered, ok := m.Port.Admit(c)
		if !ok {
			continue
		}
		g.Go(func() {
			// The error concerns only this connection, and the peer sees the
			// connection end, so it is not reported.
			_ = s.ServeOne(drpcctx.WithTransport(ctx, c), metered)
		})
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}
}
