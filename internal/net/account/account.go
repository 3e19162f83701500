// Package account bounds the memory that a process holds for the peers of its connections, and the connections themselves.
package account

import (
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause -output=cause_string.go

// Cause is why a connection was refused or closed.
type Cause int

// The causes.
const (
	None Cause = iota
	// Memory says that the memory for all connections, or for this one, is in use.
	Memory
	// Slow says that a body made too little progress while memory was short.
	Slow
	// Connections says that there were too many connections.
	Connections
)

// ErrRefused is the error of reads and writes on a connection whose memory is needed by others.
const ErrRefused = errors.ConstError("the memory for requests is in use")

const (
	// baseBytes is charged for a connection while it has a request: the buffers of its head and its
	// response, and its goroutine.
	baseBytes = 24 << 10
	// readBuffer is the size of the buffers of the HTTP library, which baseBytes includes.
	readBuffer     = 16 << 10
	defaultMaxBody = 4 << 20
	// waitInterval and maxWaits bound the wait for the memory of connections that were refused: they
	// have to wake up and to end.
	waitInterval = 5 * time.Millisecond
	maxWaits     = 100
	// writeGrace is how long a peer may leave the rest of a response before the response gives way to
	// requests that need its memory.
	writeGrace = 2 * time.Second
	// sweepInterval is how often slow bodies are looked for.
	sweepInterval = 500 * time.Millisecond
	// logInterval bounds the log to a line for each cause and interval.
	logInterval = time.Second
)

// Account counts the bytes that a process holds for the peers of its connections. Set the exported
// fields before the first connection. A nil account bounds nothing.
type Account struct {
	// Limit bounds the bytes of all connections.
	Limit int64
	// MaxConnections bounds the connections at a port with Main set; other ports may have an eighth.
	MaxConnections int
	Clock          clockwork.Clock
	Logger         log.Interface

	mu   sync.Mutex
	held int64 // leaving included
	// leaving is held by connections that were refused and have not ended yet.
	leaving int64
	ports   []*Port
	counts  [Connections + 1]expvar.Int
	logged  [Connections + 1]time.Time
	sweeps  bool // a sweep is scheduled
}

// Publish adds the counters to m: bytes held, open connections, and refusals by cause.
func (a *Account) Publish(m *expvar.Map) {
	m.Set("HeldBytes", expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.held
	}))
	m.Set("Connections", expvar.Func(func() any {
		a.mu.Lock()
		defer a.mu.Unlock()
		n := 0
		for _, p := range a.ports {
			n += len(p.conns)
		}
		return n
	}))
	for c := Memory; c <= Connections; c++ {
		m.Set("RefusedFor"+c.String(), &a.counts[c])
	}
}

// Port is a set of connections of one kind.
type Port struct {
	// Name is that of the port in logs.
	Name string
	Kind Kind
	// Main says that the port may have all of MaxConnections.
	Main bool

	account *Account
	conns   map[*Conn]struct{}
	max     int
	maxBody int64
}

// WithMaxBody sets the longest body that the HTTP library reads, 4 MiB by default, and returns the port.
func (p *Port) WithMaxBody(n int64) *Port {
	if p != nil {
		p.maxBody = n
	}
	return p
}

// Port adds a port to the account.
func (a *Account) Port(name string, kind Kind, main bool) *Port {
	if a == nil {
		return nil
	}
	p := &Port{Name: name, Kind: kind, Main: main, account: a, conns: map[*Conn]struct{}{}, max: a.MaxConnections, maxBody: defaultMaxBody}
	if !main {
		p.max = max(a.MaxConnections/8, 16)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ports = append(a.ports, p)
	return p
}

// Admit adds a connection to the port. If the port has too many, the one that has been silent for the
// longest is closed; if all have requests, the new one is refused and closed.
func (p *Port) Admit(c net.Conn) (net.Conn, bool) {
	if p == nil {
		return c, true
	}
	a := p.account
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	if len(p.conns) >= p.max {
		v := p.silentest()
		a.count(Connections, p)
		if v == nil {
			c.Close()
			return nil, false
		}
		v.refuse(Connections)
		v.drop()
		v.Conn.Close()
	}
	x := &Conn{Conn: c, port: p, since: now, progress: now, bodies: bodies{maxBody: p.maxBody}}
	p.conns[x] = struct{}{}
	return x, true
}

// silentest returns the connection without a request that has been silent for the longest, or else the
// unfinished request that makes the least progress; nil if all wait for their responses.
func (p *Port) silentest() *Conn {
	var r *Conn
	for c := range p.conns {
		if !c.awaitsPeer() {
			continue
		}
		if r == nil || c.turn == 0 && r.turn > 0 || (c.turn == 0) == (r.turn == 0) && c.progress.Before(r.progress) {
			r = c
		}
	}
	return r
}

// charge adds bytes to what is held for c. Over the limit, it refuses others, or c itself, and waits until
// what those hold is free. The lock is held, except while it waits.
func (a *Account) charge(c *Conn, n int64) error {
	if n <= 0 {
		c.charged += n
		a.held += n
		return nil
	}
	if c.charged+n > a.Limit {
		c.refuse(Memory)
		a.count(Memory, c.port)
		return ErrRefused
	}
	for waits := 0; a.held+n > a.Limit; {
		if a.held-a.leaving+n > a.Limit {
			a.count(Memory, c.port)
			if v := a.victim(c); v != nil && v != c {
				v.refuse(Memory)
				continue
			}
			c.refuse(Memory)
			return ErrRefused
		}
		if waits++; waits > maxWaits {
			a.count(Memory, c.port)
			c.refuse(Memory)
			return ErrRefused
		}
		a.mu.Unlock()
		a.Clock.Sleep(waitInterval)
		a.mu.Lock()
		if c.refused != None || c.closed {
			return ErrRefused
		}
	}
	c.charged += n
	a.held += n
	a.scheduleSweep()
	return nil
}

// victim returns the unfinished request that gives way first. c is one, whether or not it waits for its peer.
func (a *Account) victim(c *Conn) *Conn {
	now := a.Clock.Now()
	var r *Conn
	if c.unfinished {
		r = c
	}
	for _, p := range a.ports {
		for x := range p.conns {
			if x != c && x.evictable(now) && (r == nil || x.body().GivesWayTo(r.body(), now)) {
				r = x
			}
		}
	}
	return r
}

// scheduleSweep looks for slow bodies later if memory is short. The lock is held.
func (a *Account) scheduleSweep() {
	if a.sweeps || a.held <= a.Limit/2 {
		return
	}
	a.sweeps = true
	a.Clock.AfterFunc(sweepInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.sweeps = false
		now := a.Clock.Now()
		for _, p := range a.ports {
			for c := range p.conns {
				if a.held > a.Limit/2 && c.charged > 0 && c.awaitsPeer() && c.body().TooSlow(now) {
					a.count(Slow, p)
					c.refuse(Slow)
				}
			}
		}
		a.scheduleSweep()
	})
}

// count counts a refusal and logs it, with at most one line for each cause and interval. The lock is held.
func (a *Account) count(cause Cause, p *Port) {
	a.counts[cause].Add(1)
	now := a.Clock.Now()
	if now.Sub(a.logged[cause]) < logInterval {
		return
	}
	a.logged[cause] = now
	a.Logger.WithFields(log.Fields{
		"cause": cause.String(), "port": p.Name, "heldBytes": a.held, "limit": a.Limit, "connections": len(p.conns), "maxConnections": p.max,
		"refused": a.counts[cause].Value(),
	}).Warn("refusing a connection")
}
