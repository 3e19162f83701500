// Package target speaks HTTP to the back ends: model engines and plain services.
package target

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
)

const (
	dialTimeout = time.Second
	// idleConns bounds the connections kept open to the target.
	idleConns = 64
)

// Header is one HTTP header.
type Header = rhubarbgate.Header

// Request is one call to the target.
type Request struct {
	Method string
	// Host is the header of that name; empty means the target's address.
	Host       string
	Path       string
	Headers    []Header
	Body       []byte
	Idempotent bool
}

// Client calls one target. It never repeats a request by itself, and it tells
// whether any byte of one was written.
type Client struct {
	Address netip.AddrPort
	// Dialer opens connections; nil means one with a timeout of a second.
	Dialer *net.Dialer
	// NonIdempotentMaxIdle is how long a connection may have been idle to carry a request that
	// may not be repeated; 0 means that such requests get new connections.
	NonIdempotentMaxIdle time.Duration
	// MaxIdle is how long a connection may be idle at all; 0 means no bound.
	MaxIdle time.Duration
	// Clock measures idle times; it may be nil if there are no bounds.
	Clock clockwork.Clock
	// CloseDelimited accepts the end of the connection as the end of a body without a
	// length.
	CloseDelimited bool
	// Opened counts new connections, if set.
	Opened *expvar.Int

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time
}

// Response is a response whose body is still being read.
type Response struct {
	Status  int
	Headers []Header

	client *Client
	conn   *conn
	body   io.Reader
	whole  bool
	reuse  bool
	stop   func() bool
}

// Do sends a request and reads the head of the answer. A failure is an
// *rhubarbgate.Error; its verdict is NotRun only if nothing was written. The
// answer ends when ctx ends.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	n, err := c.connect(ctx, r.Idempotent)
	if err != nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.NotRun, "connecting to the target: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { n.Close() })
	a, err := n.exchange(r, c)
	if err != nil {
		stop()
		n.Close()
		return nil, failure(ctx, err)
	}
	a.client, a.stop = c, stop
	return a, nil
}

func failure(ctx context.Context, err error) *rhubarbgate.Error {
	code := rhubarbgate.CodeUpstream
	switch {
	case deadline.Passed(ctx):
		code = rhubarbgate.CodeDeadline
	case ctx.Err() != nil:
		code = rhubarbgate.CodeCancelled
	}
	return rhubarbgate.Errorf(code, rhubarbgate.MayHaveRun, "the target's answer: %v", err)
}

// connect returns a connection. A request that may not be repeated never goes
// over one that the target could be closing at the same moment.
func (c *Client) connect(ctx context.Context, reuse bool) (*conn, error) {
	for reuse || c.NonIdempotentMaxIdle > 0 {
		n := c.takeIdle()
		if n == nil {
			break
		}
		if c.young(n, reuse) && n.alive() {
			return n, nil
		}
		n.Close()
	}
	d := c.Dialer
	if d == nil {
		d = &net.Dialer{Timeout: dialTimeout}
	}
	if c.Opened != nil {
		c.Opened.Add(1)
	}
	x, err := d.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &conn{Conn: x, reader: bufio.NewReader(x), writer: bufio.NewWriter(x)}, nil
}

// young reports whether a connection was idle for so short a time that the
// target can hardly be closing it.
func (c *Client) young(n *conn, repeatable bool) bool {
	if c.Clock == nil {
		return true
	}
	idle := c.Clock.Since(n.idleAt)
	if !repeatable && idle > c.NonIdempotentMaxIdle {
		return false
	}
	return c.MaxIdle == 0 || idle <= c.MaxIdle
}

func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	n := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return n
}

// alive reports whether an idle connection has neither data nor an end. It
// looks without waiting, so it needs no clock.
func (n *conn) alive() bool {
	t, ok := n.Conn.(syscall.Conn)
	if !ok || n.reader.Buffered() > 0 {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

func (n *conn) exchange(r *Request, c *Client) (*Response, error) {
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(r.Method)
	q.SetRequestURI(r.Path)
	q.Header.SetHost(c.Address.String())
	if r.Host != "" {
		q.Header.SetHost(r.Host)
	}
	q.Header.SetNoDefaultContentType(true)
	for _, h := range r.Headers {
		q.Header.Add(h.Name, h.Value)
	}
	q.SetBodyRaw(r.Body)
	if err := q.Write(n.writer); err != nil {
		return nil, errors.Trace(err)
	}
	if err := n.writer.Flush(); err != nil {
		return nil, errors.Trace(err)
	}
	var h fasthttp.ResponseHeader
	if err := h.Read(n.reader); err != nil {
		return nil, errors.Trace(err)
	}
	return n.answer(&h, r.Method == fasthttp.MethodHead, c.CloseDelimited), nil
}

func (n *conn) answer(h *fasthttp.ResponseHeader, noBody, closeEnds bool) *Response {
	a := &Response{Status: h.StatusCode(), conn: n, reuse: !h.ConnectionClose()}
	for k, v := range h.All() {
		a.Headers = append(a.Headers, Header{Name: string(k), Value: string(v)})
	}
	const identity = -2 // as fasthttp reports a body that ends with its connection
	switch length := h.ContentLength(); {
	case noBody || a.Status == fasthttp.StatusNoContent || a.Status == fasthttp.StatusNotModified:
		a.body = io.LimitReader(n.reader, 0)
	case length >= 0:
		a.body = &exactReader{r: n.reader, left: int64(length)}
	case length == identity:
		// Such a body is not known to be whole when it ends.
		a.body = cutReader{n.reader}
		if closeEnds {
			a.body = n.reader
		}
		a.reuse = false
	default:
		a.body = &chunkedReader{r: httputil.NewChunkedReader(n.reader), tail: n.reader}
	}
	return a
}

// Read returns the next part of the body; io.EOF proves that it is whole.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close ends the answer. A connection whose body was not read to its end is
// closed, which cancels the work at the target.
func (a *Response) Close() {
	unused := a.stop()
	if !a.whole || !a.reuse || !unused || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	a.client.mu.Lock()
	defer a.client.mu.Unlock()
	if len(a.client.idle) >= idleConns {
		a.conn.Close()
		return
	}
	if a.client.Clock != nil {
		a.conn.idleAt = a.client.Clock.Now()
	}
	a.client.idle = append(a.client.idle, a.conn)
}

// Header returns the first value of the named header.
func (a *Response) Header(name string) string {
	i := slices.IndexFunc(a.Headers, func(h Header) bool { return strings.EqualFold(h.Name, name) })
	if i < 0 {
		return ""
	}
	return a.Headers[i].Value
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.idle {
		n.Close()
	}
	c.idle = nil
}
