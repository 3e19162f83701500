package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/net/socket"
)

const (
	// dialTimeout bounds the TCP connect and the TLS handshake together.
	dialTimeout = 2 * time.Second
	// redialInterval is the time without a result after which another attempt to
	// connect starts: far above the round trip within a region.
	redialInterval   = 100 * time.Millisecond
	idleConnLifetime = 2 * time.Minute
	idleConnsPerPeer = 64
)

// dialError is a failure to connect: no byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

// Client calls other processes over pooled connections.
type Client struct {
	// TLS authenticates both ends of a connection; nil means plain TCP.
	TLS *tls.Config
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *Traffic
	// Dialer opens TCP connections; nil means a net.Dialer without options.
	Dialer *net.Dialer

	pool *drpcpool.Pool[poolKey, drpcpool.Conn]

	mu          sync.Mutex
	generations map[netip.AddrPort]uint64 // of the peers that were forgotten
}

// poolKey names the connections to a peer that were opened since it was last forgotten.
type poolKey struct {
	peer       netip.AddrPort
	generation uint64
}

// NewClient returns a Client with an empty connection pool. A nil c means plain TCP.
func NewClient(c *tls.Config) *Client {
	return &Client{TLS: c, pool: drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleConnLifetime,
		KeyCapacity: idleConnsPerPeer,
	})}
}

// Close closes all idle connections.
func (c *Client) Close() error { return errors.Trace(c.pool.Close()) }

// Forget makes later calls to a peer use connections that are opened from now on. Connections that
// are open may have fallen silent together, for instance in a network device between the hosts, while
// new ones work.
func (c *Client) Forget(a netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.generations == nil {
		c.generations = map[netip.AddrPort]uint64{}
	}
	c.generations[a]++
}

func (c *Client) conn(ctx context.Context, a netip.AddrPort) drpcpool.Conn {
	c.mu.Lock()
	k := poolKey{a, c.generations[a]}
	c.mu.Unlock()
	return c.pool.Get(ctx, k, c.dial)
}

func (c *Client) dial(ctx context.Context, k poolKey) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := c.Dialer
	if d == nil {
		d = &net.Dialer{}
	}
	n, err := socket.Redial(ctx, clockwork.NewRealClock(), d, redialInterval, k.peer.String())
	if err != nil {
		return nil, &dialError{err}
	}
	n = c.Traffic.wrapConn(n)
	if c.TLS != nil {
		t := tls.Client(n, c.TLS)
		if err := t.HandshakeContext(ctx); err != nil {
			n.Close()
			return nil, &dialError{err}
		}
		n = t
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: managerOptions()}), nil
}

// Call sends one request and waits for its reply. A failure of the transport is a
// *rhubarbgate.Error with CodeUnavailable; its verdict is NotRun only if the connection
// could not be opened. A request or a reply that is too large to be sent is one with CodeTooLarge.
func Call[Out, In any](ctx context.Context, c *Client, a netip.AddrPort, name string, in *In) (*Out, error) {
	// A message that is found too large within a call would leave the connection unusable.
	b, err := encoding{}.Marshal(in)
	var tooLarge *SizeError
	if errors.As(err, &tooLarge) {
		return nil, tooLarge.asError(rhubarbgate.NotRun)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	e := new(envelope[Out])
	if err := c.conn(ctx, a).Invoke(ctx, name, encoding{}, encoded(b), e); err != nil {
		return nil, transportError(err, a, name)
	}
	if e.Err != nil {
		return nil, e.Err
	}
	if e.Value == nil {
		e.Value = new(Out)
	}
	return e.Value, nil
}

// Receiver reads the replies of a method registered with ServerStream.
type Receiver[Out any] struct {
	stream drpc.Stream
	addr   netip.AddrPort
	name   string
}

// OpenServerStream sends one request and returns the stream of its replies. To end the
// stream early, cancel ctx or call Close.
func OpenServerStream[Out, In any](ctx context.Context, c *Client, a netip.AddrPort, name string, in *In) (*Receiver[Out], error) {
	s, err := c.conn(ctx, a).NewStream(ctx, name, encoding{})
	if err != nil {
		return nil, transportError(err, a, name)
	}
	if err := s.MsgSend(in, encoding{}); err != nil {
		s.Close()
		return nil, transportError(err, a, name)
	}
	return &Receiver[Out]{stream: s, addr: a, name: name}, nil
}

// Next returns the next reply, or io.EOF after the last one.
func (r *Receiver[Out]) Next() (*Out, error) {
	out := new(Out)
	if err := r.stream.MsgRecv(out, encoding{}); err != nil {
		return nil, errors.Annotatef(err, "%s at %v", r.name, r.addr)
	}
	return out, nil
}

// Close ends the stream.
func (r *Receiver[Out]) Close() error { return r.stream.Close() }

// Sender writes a stream of messages that get no replies.
type Sender[In any] struct{ stream drpc.Stream }

// OpenClientStream opens a stream of messages to a method registered with ClientStream.
func OpenClientStream[In any](ctx context.Context, c *Client, a netip.AddrPort, name string) (*Sender[In], error) {
	s, err := c.conn(ctx, a).NewStream(ctx, name, encoding{})
	if err != nil {
		return nil, transportError(err, a, name)
	}
	return &Sender[In]{stream: s}, nil
}

// Send writes one message.
func (s *Sender[In]) Send(m *In) error { return errors.Trace(s.stream.MsgSend(m, encoding{})) }

// Close ends the stream.
func (s *Sender[In]) Close() error { return s.stream.Close() }

// transportError wraps a failure of the transport. Its verdict is MayHaveRun unless the
// connection could not be opened.
func transportError(err error, a netip.AddrPort, name string) *rhubarbgate.Error {
	v := rhubarbgate.MayHaveRun
	var d *dialError
	if errors.As(err, &d) {
		v = rhubarbgate.NotRun
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, v, "%s at %v: %v", name, a, err)
}
