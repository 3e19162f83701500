package account

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcwire"
)

func newAccount(limit int64) *Account {
	return &Account{Limit: limit, MaxConnections: 16, Clock: clockwork.NewRealClock(), Logger: &log.Logger{Handler: discard.New()}}
}

// pair returns a charged connection and its peer.
func pair(t *testing.T, p *Port) (*Conn, net.Conn) {
	a, b := net.Pipe()
	c, ok := p.Admit(a)
	qt.Assert(t, ok, qt.IsTrue)
	t.Cleanup(func() { c.Close(); b.Close() })
	return c.(*Conn), b
}

func (a *Account) now() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// receive sends text from the peer and reads it.
func receive(c *Conn, peer net.Conn, text string) error {
	go func() { _, _ = io.WriteString(peer, text) }()
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// TestBuffersOfBodies guards against charging less than the HTTP library allocates, however the bytes
// of a request are split.
func TestBuffersOfBodies(t *testing.T) {
	for _, x := range []struct {
		text string
		need int64
	}{
		{"POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n", 1000},
		{"POST / HTTP/1.1\r\ncontent-length:   1000 \r\nHost: a\r\n\r\nxx", 1000},
		{"POST / HTTP/1.1\r\nContent-Length: " + strings.Repeat(" ", 100) + "1000\r\n\r\n", 5000},
		{"POST / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n", 0},
		{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nxxPOST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n", 3000},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n", 1536},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n3e8\r\n", 1536},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n", 3000},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 0},
	} {
		for _, step := range []int{1, 7, len(x.text)} {
			r := bodies{maxBody: 5000}
			for rest := x.text; len(rest) > 0; rest = rest[min(step, len(rest)):] {
				r.read([]byte(rest[:min(step, len(rest))]))
			}
			qt.Check(t, r.need, qt.Equals, x.need, qt.Commentf("%q in steps of %d", x.text, step))
		}
	}
}

// TestBuffersOfMessages guards against charging less than the buffers of a message between processes.
func TestBuffersOfMessages(t *testing.T) {
	frame := func(n int, done bool) string {
		return string(drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 300}, Kind: drpcwire.KindMessage, Done: done, Data: make([]byte, n)}))
	}
	var f frames
	qt.Check(t, f.read([]byte(frame(100_000, false))), qt.IsFalse)
	qt.Check(t, f.read([]byte(frame(400_000, true))[:300_000]), qt.IsFalse)
	qt.Check(t, f.charge() >= 2*400_000, qt.IsTrue)
	qt.Check(t, f.read([]byte(frame(400_000, true))[300_000:]), qt.IsTrue)
	qt.Check(t, f.unfinished(), qt.Equals, int64(0))
	qt.Check(t, f.charge() >= 2*500_000, qt.IsTrue, qt.Commentf("the library keeps the buffer"))
	for range 100 {
		qt.Check(t, f.read([]byte(frame(10, true))), qt.IsTrue)
	}
	qt.Check(t, f.charge(), qt.Equals, int64(0))
}

// TestMemoryOfStalledBodies guards against refusing a new request while a stalled one holds memory, and
// against memory that stays charged after a request or its connection has ended.
func TestMemoryOfStalledBodies(t *testing.T) {
	a := newAccount(1 << 20)
	p := a.Port("callers", Requests, true)
	head := func(n int) string { return fmt.Sprintf("POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n", n) }
	stalled, peer := pair(t, p)
	qt.Assert(t, receive(stalled, peer, head(800_000)), qt.IsNil)
	ended := make(chan error)
	go func() {
		_, err := stalled.Read(make([]byte, 10))
		stalled.Close()
		ended <- err
	}()
	time.Sleep(300 * time.Millisecond)
	other, otherPeer := pair(t, p)
	qt.Check(t, receive(other, otherPeer, head(800_000)), qt.IsNil)
	qt.Check(t, <-ended, qt.Equals, error(ErrRefused))
	qt.Check(t, stalled.Refused(), qt.Equals, Memory)
	qt.Check(t, a.now(), qt.Equals, int64(800_000+baseBytes))

	_, err := other.Hold(900_000)
	qt.Check(t, err, qt.Equals, error(ErrRefused))
	other.Close()
	qt.Check(t, a.now(), qt.Equals, int64(0))
}

// TestMemoryOfRequestThatEnds guards against charging an idle connection for its last request.
func TestMemoryOfRequestThatEnds(t *testing.T) {
	a := newAccount(1 << 20)
	c, peer := pair(t, a.Port("callers", Requests, true))
	qt.Assert(t, receive(c, peer, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"), qt.IsNil)
	release, err := c.Hold(1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, a.now(), qt.Equals, int64(baseBytes+5+1000))
	release()
	qt.Check(t, a.now(), qt.Equals, int64(baseBytes+5))
	go func() { _, _ = peer.Read(make([]byte, 10)) }()
	_, err = c.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	for range 1000 {
		if a.now() == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, a.now(), qt.Equals, int64(0))
}

// TestConnectionsThatAreSilent guards against connections that send nothing keeping others out, and
// against closing one whose request is being served.
func TestConnectionsThatAreSilent(t *testing.T) {
	a := newAccount(1 << 20)
	p := a.Port("callers", Requests, true)
	served, peer := pair(t, p)
	qt.Assert(t, receive(served, peer, "GET / HTTP/1.1\r\n\r\n"), qt.IsNil)
	for range 3 * a.MaxConnections {
		c, _ := pair(t, p)
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		time.Sleep(time.Millisecond)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	qt.Check(t, len(p.conns), qt.Equals, a.MaxConnections)
	qt.Check(t, served.closed, qt.IsFalse)
}
