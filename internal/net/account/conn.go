package account

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/net/socket"
	"rhubarbgate.example/rhubarbgate/internal/policy/holding"
)

// Kind is what the connections of a port carry.
type Kind int

// The kinds.
const (
	// Requests are HTTP requests whose bodies the HTTP library reads whole.
	Requests Kind = iota
	// Streams are HTTP requests whose handlers read the bodies and call Hold for what they keep.
	Streams
	// Messages are those between the fleet's processes.
	Messages
)

// Conn is a connection whose memory is charged. Its fields are guarded by the account's lock.
type Conn struct {
	net.Conn
	port *Port

	charged int64
	// leaving is what was charged when the connection was refused.
	leaving int64
	// turn is how many bytes of the current request arrived.
	turn int64
	// since is when the current request, or the silence before it, began; progress when the last byte
	// was read, or taken by the peer.
	since, progress time.Time
	reading         bool
	writing         bool
	// wrote says that a response was written, so that the next read begins another request.
	wrote bool
	// unfinished says that a request has begun to arrive, and that the process does not work on it yet.
	unfinished bool
	// working says that the process works on a complete message. Requests need no such mark, as nothing
	// is read while the process works on one.
	working bool
	refused Cause
	closed  bool
	frames  frames
	bodies  bodies
}

// awaitsPeer reports whether nothing but the peer can make the connection go on.
func (c *Conn) awaitsPeer() bool {
	if c.refused != None || c.closed {
		return false
	}
	return c.reading && !c.working
}

// evictable reports whether the connection holds memory for a peer that does not go on.
func (c *Conn) evictable(now time.Time) bool {
	if c.refused != None || c.closed || c.charged == 0 {
		return false
	}
	return c.awaitsPeer() || c.writing && now.Sub(c.progress) > writeGrace
}

func (c *Conn) body() holding.Body {
	return holding.Body{Since: c.since, Progress: c.progress, Bytes: c.turn}
}

// refuse makes reads and writes of the connection fail, so that it ends. The lock is held.
func (c *Conn) refuse(cause Cause) {
	if c.refused != None {
		return
	}
	c.refused = cause
	c.leaving, c.charged = c.charged, 0
	c.port.account.leaving += c.leaving
	// Both fail only if the connection is closed, which ends its reads and writes too.
	if c.writing {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// drop takes the connection out of its port. The lock is held.
func (c *Conn) drop() {
	if c.closed {
		return
	}
	c.closed = true
	c.port.account.held -= c.charged + c.leaving
	c.port.account.leaving -= c.leaving
	c.charged, c.leaving = 0, 0
	delete(c.port.conns, c)
}

// Refused returns why the connection was refused.
func (c *Conn) Refused() Cause {
	c.port.account.mu.Lock()
	defer c.port.account.mu.Unlock()
	return c.refused
}

// usable returns the error of a connection that was refused, or closed, which nothing is charged to any
// more. The lock is held.
func (c *Conn) usable() error {
	switch {
	case c.refused != None:
		return ErrRefused
	case c.closed:
		return net.ErrClosed
	}
	return nil
}

// Hold charges n bytes that the process keeps for the current request, apart from its body, until
// release is called or the next request begins.
func (c *Conn) Hold(n int) (release func(), err error) {
	a := c.port.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := c.usable(); err != nil {
		return nil, err
	}
	if c.port.Kind == Requests {
		c.unfinished = false // it was read whole
	}
	if err := a.charge(c, int64(n)); err != nil {
		return nil, err
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if n = int(min(int64(n), c.charged)); n > 0 {
			c.charged -= int64(n)
			a.held -= int64(n)
		}
	}, nil
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.beforeRead(len(b)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	return c.afterRead(b[:max(n, 0)], err)
}

func (c *Conn) beforeRead(n int) error {
	a := c.port.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := c.usable(); err != nil {
		return err
	}
	if c.wrote && c.port.Kind != Messages {
		c.endTurn(a.Clock.Now())
	}
	// A read into a larger buffer than was charged shows a request that bodies did not understand.
	if c.port.Kind == Requests && n > readBuffer && int64(n) > c.charged {
		if err := a.charge(c, int64(n)-c.charged); err != nil {
			return err
		}
	}
	c.reading = true
	return nil
}

// endTurn ends a request and its response. The lock is held.
func (c *Conn) endTurn(now time.Time) {
	c.port.account.held -= c.charged
	c.charged, c.turn, c.wrote, c.unfinished = 0, 0, false, false
	c.since, c.progress = now, now
	c.bodies.reset()
	// A pipelined request may have begun to arrive. It is charged again with its next bytes; until
	// then the library has allocated only what was charged before.
	if n := c.bodies.need; n > 0 {
		c.charged = baseBytes + n
		c.port.account.held += c.charged
	}
}

// chargeRequest charges the buffers of the request that is arriving. The lock is held.
func (c *Conn) chargeRequest() error {
	return c.port.account.charge(c, baseBytes+c.bodies.need-c.charged)
}

func (c *Conn) afterRead(b []byte, err error) (int, error) {
	a := c.port.account
	a.mu.Lock()
	defer a.mu.Unlock()
	c.reading = false
	if e := c.usable(); e != nil {
		return 0, e
	}
	if len(b) == 0 {
		return 0, err
	}
	now := a.Clock.Now()
	c.progress = now
	if c.turn == 0 {
		c.since = now
	}
	c.turn += int64(len(b))
	switch c.port.Kind {
	case Messages:
		complete := c.frames.read(b)
		c.turn = c.frames.unfinished()
		c.unfinished = c.turn > 0
		c.working = complete && !c.unfinished
		if e := a.charge(c, c.frames.charge()-c.charged); e != nil {
			return 0, e
		}
	case Requests:
		c.unfinished = true
		c.bodies.read(b)
		if e := c.chargeRequest(); e != nil {
			return 0, e
		}
	default:
		c.unfinished = true
		if c.charged == 0 {
			if e := a.charge(c, baseBytes); e != nil {
				return 0, e
			}
		}
	}
	return len(b), err
}

// Write implements net.Conn. What is written at once is charged until the peer has taken it.
func (c *Conn) Write(b []byte) (int, error) {
	a := c.port.account
	held := int64(0)
	a.mu.Lock()
	// A refused connection may still get its response.
	if c.refused == None && !c.closed && len(b) > readBuffer && c.port.Kind != Messages {
		held = int64(len(b))
		c.unfinished = false
		if err := a.charge(c, held); err != nil {
			a.mu.Unlock()
			return 0, err
		}
	}
	c.writing, c.wrote, c.working = true, true, false
	c.progress = a.Clock.Now()
	a.mu.Unlock()
	n, err := c.Conn.Write(b)
	a.mu.Lock()
	defer a.mu.Unlock()
	c.writing = false
	if held = min(held, c.charged); held > 0 {
		c.charged -= held
		a.held -= held
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The deadline of a refused connection stays in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	a := c.port.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.refused != None {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	a := c.port.account
	a.mu.Lock()
	c.drop()
	a.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, so that the connection can be watched.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("raw access to %T", c.Conn)
	}
	return s.SyscallConn()
}

// Listener returns a listener whose connections belong to the port. A shortage of descriptors does not
// end it. A nil port returns l.
func (p *Port) Listener(l net.Listener) net.Listener {
	if p == nil {
		return l
	}
	return &listener{Listener: l, port: p}
}

type listener struct {
	net.Listener
	port *Port
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if socket.IsShortage(err) {
			l.port.account.Clock.Sleep(socket.AcceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if x, ok := l.port.Admit(c); ok {
			return x, nil
		}
	}
}

// From returns the charged connection below c, nil if there is none.
func From(c net.Conn) *Conn {
	for {
		switch x := c.(type) {
		case *Conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// Hold is Conn.Hold of the charged connection below c. Without one, nothing is charged.
func Hold(c net.Conn, n int) (release func(), err error) {
	if x := From(c); x != nil {
		return x.Hold(n)
	}
	return func() {}, nil
}
