// Package target is the HTTP client for targets: model engines and other HTTP services.
package target

import (
	"bufio"
	"context"
	"crypto/tls"
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

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
)

const (
	// dialTimeout bounds the opening of a connection if the Client has no Dialer.
	dialTimeout = time.Second
	// maxIdleConns bounds the idle connections kept open to one target.
	maxIdleConns = 64
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 4 << 10
	// maxInterimResponses bounds the responses with a status 1xx before the final one.
	maxInterimResponses = 4
	// maxStrayResponses and maxStrayBytes bound the responses out of turn that are skipped before
	// the response to a request, and the body of each.
	maxStrayResponses = 2
	maxStrayBytes     = 64 << 10
	// maxStrayWait bounds the wait for the response to an idempotent request after one out of
	// turn. It leaves time for another attempt within the latency objectives.
	maxStrayWait = 200 * time.Millisecond
	// maxRequestsPerConn bounds the IDs that a connection has to remember.
	maxRequestsPerConn = 256
)

// errTooManyInterim reports more than maxInterimResponses.
const errTooManyInterim = errors.ConstError("the target sends interim responses without end")

// Header is one HTTP header.
type Header = rhubarbgate.Header

// Request is one HTTP request to the target.
type Request struct {
	Method string
	// Host is the Host header; empty means the target's address.
	Host string
	// Path is the request URI: the path with its query.
	Path    string
	Headers []Header
	Body    []byte
	// ID is the value of the client's IDHeader in Headers. Only a response with the same value
	// belongs to the request. It may be empty.
	ID string
	// Idempotent requests may reuse an idle connection that the target could be closing.
	Idempotent bool
}

// HopByHop reports whether a header is not forwarded: it concerns a single connection, is
// set by the HTTP client itself, or holds the caller's key.
func HopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "host", "authorization", "expect":
		return true
	}
	return false
}

// Client sends requests to one target and keeps its idle connections. It never retries
// a request. The verdict of its errors is NotRun only if no connection could be opened,
// so that no byte of the request was written.
type Client struct {
	// Address is where the target listens.
	Address netip.AddrPort
	// Dialer opens connections; nil means one with a timeout of a second.
	Dialer *net.Dialer
	// TLS, if set, encrypts the connections, each of which then carries one request.
	TLS *tls.Config
	// NonIdempotentMaxIdle is how long a connection may have been idle and still carry a
	// request that is not idempotent; 0 means that each such request opens a connection.
	NonIdempotentMaxIdle time.Duration
	// MaxIdle is how long a connection may have been idle and still carry any request;
	// 0 means no limit.
	MaxIdle time.Duration
	// Clock measures idle times and the wait after a response out of turn; if it is nil, neither
	// is bounded.
	Clock clockwork.Clock
	// CloseDelimited accepts the end of the connection as the end of a body that has
	// neither a Content-Length nor chunks. Otherwise Read reports such a body as truncated.
	CloseDelimited bool
	// IDHeader is the header with the ID of a request, which the target repeats in its response; empty
	// means that the target does not identify its responses. Without IDs a response is known to
	// belong to a request only if the connection carries no other one, so it is not kept.
	IDHeader string
	// KeepUnidentified keeps connections whose responses have no ID too. It is for readers whom a
	// response to an earlier request serves as well.
	KeepUnidentified bool
	// OnStray, if set, is called for each response out of turn.
	OnStray func(s Stray)
	// Opened, if set, counts attempts to open a connection.
	Opened *expvar.Int
	// OnRefused, if set, is called when the target refuses a connection, OnResponse when it
	// responds.
	OnRefused, OnResponse func()

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	idleAt time.Time // when the last response was closed
	// ids holds hashes of the IDs of the requests that were written to the connection.
	ids []uint64
	// strays counts the responses out of turn; after the first, the connection carries no further
	// request.
	strays int
}

// Stray describes a response that arrived where that to another request was due, or none.
type Stray struct {
	// Request is the ID of the request that awaited its response, Answered the one that the
	// response states. Both are empty, and Status is 0, for unread bytes on an idle connection.
	Request, Answered string
	Status            int
	// EarlierRequests is the number of requests that the connection carried before.
	EarlierRequests int
}

// Response is a response whose body is still to be read. It must be closed.
type Response struct {
	Status  int
	Headers []Header

	client   *Client
	conn     *conn
	body     io.Reader
	complete bool        // the body was read to its end
	reusable bool        // the target keeps the connection open
	unframed bool        // the body ends with its connection
	stop     func() bool // stops the watch on the request's context
}

// Do sends a request and reads the status and the headers of the response. A failure
// is an *rhubarbgate.Error; its verdict is NotRun only if nothing was written. The
// connection is closed when ctx ends, also while the body is being read.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, r)
	if err != nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.NotRun, "connecting to the target: %v", err)
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	resp, err := cn.roundTrip(r, c)
	if err != nil {
		stop()
		cn.Close()
		e := responseError(ctx, err)
		if cn.strays > 0 && e.Code == rhubarbgate.CodeDeadline {
			// The target failed, not the time that the request had.
			e.Code = rhubarbgate.CodeUpstream
		}
		return nil, e
	}
	resp.client, resp.stop = c, stop
	resp.reusable = resp.reusable && c.keeps(r) && len(cn.ids) < maxRequestsPerConn
	if c.OnResponse != nil {
		c.OnResponse()
	}
	return resp, nil
}

// responseError describes a failure after the connection was opened, when the target may
// have received the request.
func responseError(ctx context.Context, err error) *rhubarbgate.Error {
	code := rhubarbgate.CodeUpstream
	switch {
	case deadline.Passed(ctx):
		code = rhubarbgate.CodeDeadline
	case ctx.Err() != nil:
		code = rhubarbgate.CodeCancelled
	}
	return rhubarbgate.Errorf(code, rhubarbgate.MayHaveRun, "the target's answer: %v", err)
}

// connect returns an idle connection or opens one. A request that is not idempotent never
// uses a connection that was idle for longer than NonIdempotentMaxIdle. The target could be
// closing it at the same moment: the request would fail without a response, and it could
// not be retried.
func (c *Client) connect(ctx context.Context, r *Request) (*conn, error) {
	for c.keeps(r) && (r.Idempotent || c.NonIdempotentMaxIdle > 0) {
		cn := c.popIdle(r.ID)
		if cn == nil {
			break
		}
		alive, unread := cn.alive()
		if alive && c.canCarry(cn, r.Idempotent) {
			return cn, nil
		}
		if unread {
			c.recordStray(cn, Stray{})
		}
		cn.Close()
	}
	d := c.Dialer
	if d == nil {
		d = &net.Dialer{Timeout: dialTimeout}
	}
	if c.Opened != nil {
		c.Opened.Add(1)
	}
	raw, err := d.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		if c.OnRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
			c.OnRefused()
		}
		return nil, errors.Trace(err)
	}
	if c.TLS == nil {
		return newConn(raw), nil
	}
	encrypted := tls.Client(raw, c.TLS)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	return newConn(encrypted), nil
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, maxHeadBytes), writer: bufio.NewWriter(raw)}
}

// canCarry reports whether a connection was idle so briefly that the target is unlikely
// to be closing it. Without a Clock, any connection counts as such.
func (c *Client) canCarry(cn *conn, idempotent bool) bool {
	if c.Clock == nil {
		return true
	}
	idle := c.Clock.Since(cn.idleAt)
	if !idempotent && idle > c.NonIdempotentMaxIdle {
		return false
	}
	return c.MaxIdle == 0 || idle <= c.MaxIdle
}

// HasIdle reports whether an idle connection seems able to carry a request.
func (c *Client) HasIdle(idempotent bool) bool {
	if !idempotent && c.NonIdempotentMaxIdle == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle) > 0 && c.canCarry(c.idle[len(c.idle)-1], idempotent)
}

// keeps reports whether the request may share its connection with others. A response to HEAD has a
// length and no body, so that it cannot be told where one to another request ends.
func (c *Client) keeps(r *Request) bool {
	return (c.IDHeader != "" && r.ID != "" || c.KeepUnidentified) && r.Method != fasthttp.MethodHead
}

// recordStray reports a response out of turn on a connection.
func (c *Client) recordStray(cn *conn, s Stray) {
	cn.strays++
	if c.OnStray != nil {
		s.EarlierRequests = len(cn.ids)
		if s.Request != "" {
			s.EarlierRequests--
		}
		c.OnStray(s)
	}
}

// popIdle removes and returns the most recently used idle connection, or returns nil. It closes
// connections that carried a request with the ID, if that is not empty: a late response to that
// one could not be told from the response to this one.
func (c *Client) popIdle(id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if id == "" || !slices.Contains(cn.ids, xxhash.Sum64String(id)) {
			return cn
		}
		cn.Close()
	}
	return nil
}

// alive reports whether an idle connection is still open and has no unexpected data to read, and
// if not, whether it has such data. It peeks without blocking.
func (cn *conn) alive() (alive, unread bool) {
	t, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN), err == nil && peekErr == nil && n > 0
}

// roundTrip writes the request and reads the head of the response.
func (cn *conn) roundTrip(r *Request, c *Client) (*Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.Path)
	req.Header.SetHost(c.Address.String())
	if r.Host != "" {
		req.Header.SetHost(r.Host)
	}
	req.Header.SetNoDefaultContentType(true)
	for _, h := range r.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.SetBodyRaw(r.Body)
	if r.ID != "" {
		cn.ids = append(cn.ids, xxhash.Sum64String(r.ID))
	}
	if err := req.Write(cn.writer); err != nil {
		return nil, errors.Trace(err)
	}
	if err := cn.writer.Flush(); err != nil {
		return nil, errors.Trace(err)
	}
	return cn.ownResponse(r, c)
}

// ownResponse reads the head of the response to the request r. On a connection that carried
// requests before, it skips responses that do not have the ID of this one: a late copy of an earlier
// response is no response to this request, and the true one follows. An idempotent request awaits
// it for maxStrayWait, since it can be sent again; any other one until its deadline.
func (cn *conn) ownResponse(r *Request, c *Client) (*Response, error) {
	for {
		resp, err := cn.nextResponse(r.Method == fasthttp.MethodHead, c.CloseDelimited)
		if err != nil {
			return nil, err
		}
		if c.IDHeader == "" || r.ID == "" {
			return resp, nil
		}
		id := resp.Header(c.IDHeader)
		if id == r.ID {
			resp.reusable = resp.reusable && cn.strays == 0
			return resp, nil
		}
		c.recordStray(cn, Stray{Request: r.ID, Answered: id, Status: resp.Status})
		if cn.strays == 1 && r.Idempotent && c.Clock != nil {
			wait := c.Clock.AfterFunc(maxStrayWait, func() { cn.Close() })
			defer wait.Stop()
		}
		if len(cn.ids) == 1 || cn.strays > maxStrayResponses || !resp.skip() {
			return nil, errors.Errorf("the target answered request %q with status %d", id, resp.Status)
		}
	}
}

// skip reads the body of a response out of turn. It reports false if the body does not show where
// the next response begins.
func (r *Response) skip() bool {
	if r.unframed || !r.reusable {
		return false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(r, maxStrayBytes))
	return err == nil && r.complete
}

// nextResponse reads the head of the next final response.
func (cn *conn) nextResponse(noBody, acceptCloseDelimited bool) (*Response, error) {
	var h fasthttp.ResponseHeader
	for range maxInterimResponses + 1 {
		if err := checkHead(cn.reader); err != nil {
			return nil, err
		}
		if err := h.Read(cn.reader); err != nil {
			return nil, errors.Trace(err)
		}
		if !isInterim(h.StatusCode()) {
			return cn.response(&h, noBody, acceptCloseDelimited), nil
		}
	}
	return nil, errTooManyInterim
}

// isInterim reports whether another response follows one with this status. After a switch
// of protocols none does.
func isInterim(status int) bool {
	return status >= fasthttp.StatusContinue && status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols
}

// response returns a Response for the head h, with a reader that fits the kind of body.
func (cn *conn) response(h *fasthttp.ResponseHeader, noBody, acceptCloseDelimited bool) *Response {
	resp := &Response{Status: h.StatusCode(), conn: cn, reusable: !h.ConnectionClose()}
	for k, v := range h.All() {
		resp.Headers = append(resp.Headers, Header{Name: string(k), Value: string(v)})
	}
	const closeDelimitedLength = -2 // fasthttp's ContentLength of a body that ends with its connection
	switch length := h.ContentLength(); {
	case noBody || resp.Status == fasthttp.StatusNoContent || resp.Status == fasthttp.StatusNotModified:
		resp.body = io.LimitReader(cn.reader, 0)
	case length >= 0:
		resp.body = &lengthReader{r: cn.reader, remaining: int64(length)}
	case length == closeDelimitedLength:
		// The end of such a body does not show whether it is complete.
		resp.body = closeDelimitedReader{cn.reader}
		if acceptCloseDelimited {
			resp.body = cn.reader
		}
		resp.reusable, resp.unframed = false, true
	default:
		resp.body = &chunkedReader{r: httputil.NewChunkedReader(cn.reader), trailer: cn.reader}
	}
	return resp
}

// Read returns the next part of the body. io.EOF means that the body is complete, except
// for a body that ends with its connection, which Client.CloseDelimited accepts.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// ReadAll reads the rest of the body. It fails if that has more than maxBytes.
func (r *Response) ReadAll(maxBytes int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(b)) > maxBytes {
		return nil, errors.Errorf("the response has more than %d bytes", maxBytes)
	}
	return b, nil
}

// Unframed reports whether the body has neither a length nor chunks and ends with its connection,
// so that its end does not show whether it is complete.
func (r *Response) Unframed() bool { return r.unframed }

// Close releases the response. Its connection becomes idle if it can be reused. It is
// closed if the body was not read to its end, which cancels the work at the target.
func (r *Response) Close() {
	notCancelled := r.stop()
	unread := r.complete && r.conn.reader.Buffered() > 0
	if unread {
		r.client.recordStray(r.conn, Stray{})
	}
	if !r.complete || !r.reusable || !notCancelled || unread {
		r.conn.Close()
		return
	}
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	if len(r.client.idle) >= maxIdleConns {
		r.conn.Close()
		return
	}
	if r.client.Clock != nil {
		r.conn.idleAt = r.client.Clock.Now()
	}
	r.client.idle = append(r.client.idle, r.conn)
}

// Header returns the first value of the named header, or an empty string.
func (r *Response) Header(name string) string {
	i := slices.IndexFunc(r.Headers, func(h Header) bool { return strings.EqualFold(h.Name, name) })
	if i < 0 {
		return ""
	}
	return r.Headers[i].Value
}

// CloseIdle closes the connections that are not in use.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}
