package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// server answers each connection with a fixed text after one request, and
// counts the requests it read.
type server struct {
	address  netip.AddrPort
	requests chan string
}

func serve(t *testing.T, reply string, keepOpen bool) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	s := &server{address: l.Addr().(*net.TCPAddr).AddrPort(), requests: make(chan string, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.connection(c, reply, keepOpen)
		}
	}()
	return s
}

func (s *server) connection(c net.Conn, reply string, keepOpen bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		head := ""
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
			head += line
		}
		s.requests <- head
		if _, err := io.WriteString(c, reply); err != nil || !keepOpen {
			return
		}
	}
}

func TestAnswers(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name  string
		reply string
		body  string
		cut   bool
	}{
		{"length", ok + "Content-Length: 5\r\n\r\nhello", "hello", false},
		{"length cut", ok + "Content-Length: 9\r\n\r\nhello", "hello", true},
		{"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", false},
		{"chunked cut", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "hello", true},
		{"chunked cut before the last line", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "hello", true},
		{"ends with the connection", ok + "Connection: close\r\n\r\nhello", "hello", true},
		{"empty", ok + "Content-Length: 0\r\n\r\n", "", false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			s := serve(t, x.reply, false)
			a, err := (&Client{Address: s.address}).Do(context.Background(), &Request{Method: "GET", Path: "/"})
			c.Assert(err, qt.IsNil)
			defer a.Close()
			b, err := io.ReadAll(a)
			c.Assert(string(b), qt.Equals, x.body)
			c.Assert(err != nil, qt.Equals, x.cut, qt.Commentf("%v", err))
		})
	}
}

func verdict(t *testing.T, err error) rhubarbgate.Verdict {
	qt.Assert(t, err, qt.IsNotNil)
	return rhubarbgate.AsError(err).Verdict
}

func TestVerdicts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	_, err = (&Client{Address: closed}).Do(context.Background(), &Request{Method: "GET", Path: "/"})
	qt.Assert(t, verdict(t, err), qt.Equals, rhubarbgate.NotRun)

	silent := serve(t, "", false)
	_, err = (&Client{Address: silent.address}).Do(context.Background(), &Request{Method: "POST", Path: "/", Idempotent: true})
	qt.Assert(t, verdict(t, err), qt.Equals, rhubarbgate.MayHaveRun)
	// Exactly one request was sent: nothing is repeated behind the caller's back.
	qt.Assert(t, <-silent.requests, qt.Not(qt.Equals), "")
	qt.Assert(t, silent.requests, qt.HasLen, 0)
}

func TestConnectionsAreReusedForIdempotentRequestsOnly(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	client := &Client{Address: s.address}
	defer client.CloseIdle()
	do := func(idempotent bool) {
		a, err := client.Do(context.Background(), &Request{Method: "GET", Path: "/", Idempotent: idempotent})
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, a)
		c.Assert(err, qt.IsNil)
		a.Close()
	}
	do(true)
	c.Assert(client.idle, qt.HasLen, 1)
	do(true)
	c.Assert(client.idle, qt.HasLen, 1)
	do(false)
	c.Assert(client.idle, qt.HasLen, 2)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	client := &Client{Address: s.address}
	defer client.CloseIdle()
	for range 3 {
		// The server closes each connection behind its answer.
		a, err := client.Do(context.Background(), &Request{Method: "GET", Path: "/", Idempotent: true})
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, a)
		c.Assert(err, qt.IsNil)
		// Wait for the close to arrive, so that the case is the same on every run.
		_, err = a.conn.reader.Peek(1)
		c.Assert(err, qt.Equals, io.EOF)
		a.Close()
		c.Assert(client.idle, qt.HasLen, 1)
		c.Assert(client.idle[0].alive(), qt.IsFalse)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	s := serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", true)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := (&Client{Address: s.address}).Do(ctx, &Request{Method: "GET", Path: "/"})
	c.Assert(err, qt.IsNil)
	time.AfterFunc(10*time.Millisecond, cancel)
	b, err := io.ReadAll(a)
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.HasPrefix("part", string(b)), qt.IsTrue)
	a.Close()
}
