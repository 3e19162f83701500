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

// server writes a fixed response to each request and records the heads of the requests.
type server struct {
	address  netip.AddrPort
	requests chan string
}

// startServer starts a server that closes each connection after its first response, or
// keeps it open.
func startServer(t *testing.T, response string, keepOpen bool) *server {
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
			go s.serveConn(c, response, keepOpen)
		}
	}()
	return s
}

func (s *server) serveConn(c net.Conn, response string, keepOpen bool) {
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
		if _, err := io.WriteString(c, response); err != nil || !keepOpen {
			return
		}
	}
}

// TestResponseBodies guards against a truncated body that is reported as complete: the
// connection ends within the body or before the end of its chunks, or the body has no
// length that would show its end.
func TestResponseBodies(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name      string
		response  string
		body      string
		truncated bool
	}{
		{"length", ok + "Content-Length: 5\r\n\r\nhello", "hello", false},
		{"length cut", ok + "Content-Length: 9\r\n\r\nhello", "hello", true},
		{"chunked", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", false},
		{"chunked cut", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "hello", true},
		{"chunked cut before the last line", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "hello", true},
		{"ends with the connection", ok + "Connection: close\r\n\r\nhello", "hello", true},
		{"empty", ok + "Content-Length: 0\r\n\r\n", "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := startServer(t, test.response, false)
			resp, err := (&Client{Address: s.address}).Do(context.Background(), &Request{Method: "GET", Path: "/"})
			c.Assert(err, qt.IsNil)
			defer resp.Close()
			b, err := io.ReadAll(resp)
			c.Assert(string(b), qt.Equals, test.body)
			c.Assert(err != nil, qt.Equals, test.truncated, qt.Commentf("%v", err))
		})
	}
}

func verdictOf(t *testing.T, err error) rhubarbgate.Verdict {
	qt.Assert(t, err, qt.IsNotNil)
	return rhubarbgate.AsError(err).Verdict
}

// TestErrorVerdicts guards against retrying a request that may have run, and against not
// retrying one that did not. A refused connection means that it did not run; after a
// connection that ends without a response it may have run, even if it is idempotent.
func TestErrorVerdicts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	_, err = (&Client{Address: closed}).Do(context.Background(), &Request{Method: "GET", Path: "/"})
	qt.Assert(t, verdictOf(t, err), qt.Equals, rhubarbgate.NotRun)

	empty := startServer(t, "", false)
	_, err = (&Client{Address: empty.address}).Do(context.Background(), &Request{Method: "POST", Path: "/", Idempotent: true})
	qt.Assert(t, verdictOf(t, err), qt.Equals, rhubarbgate.MayHaveRun)
	// Exactly one request was sent: the client itself retries nothing.
	qt.Assert(t, <-empty.requests, qt.Not(qt.Equals), "")
	qt.Assert(t, empty.requests, qt.HasLen, 0)
}

// TestConnectionsAreReusedForIdempotentRequestsOnly guards against sending a request that
// cannot be retried on an idle connection, which the target could be closing.
func TestConnectionsAreReusedForIdempotentRequestsOnly(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true)
	client := &Client{Address: s.address, KeepUnidentified: true}
	defer client.CloseIdle()
	do := func(idempotent bool) {
		resp, err := client.Do(context.Background(), &Request{Method: "GET", Path: "/", Idempotent: idempotent})
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp)
		c.Assert(err, qt.IsNil)
		resp.Close()
	}
	do(true)
	c.Assert(client.idle, qt.HasLen, 1)
	do(true)
	c.Assert(client.idle, qt.HasLen, 1)
	do(false)
	c.Assert(client.idle, qt.HasLen, 2)
}

// TestClosedIdleConnectionIsNotReused guards against sending a request on an idle
// connection that the target has closed: the request would fail without a response.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false)
	client := &Client{Address: s.address, KeepUnidentified: true}
	defer client.CloseIdle()
	for range 3 {
		// The server closes each connection after its response.
		resp, err := client.Do(context.Background(), &Request{Method: "GET", Path: "/", Idempotent: true})
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, resp)
		c.Assert(err, qt.IsNil)
		// Wait until the close has arrived, so that the connection is closed in every run.
		_, err = resp.conn.reader.Peek(1)
		c.Assert(err, qt.Equals, io.EOF)
		resp.Close()
		c.Assert(client.idle, qt.HasLen, 1)
		alive, _ := client.idle[0].alive()
		c.Assert(alive, qt.IsFalse)
	}
}

// TestCancelAbortsResponse guards against a read that blocks after its request was
// cancelled, because the target sends no more of the body.
func TestCancelAbortsResponse(t *testing.T) {
	c := qt.New(t)
	s := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart", true)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := (&Client{Address: s.address}).Do(ctx, &Request{Method: "GET", Path: "/"})
	c.Assert(err, qt.IsNil)
	time.AfterFunc(10*time.Millisecond, cancel)
	b, err := io.ReadAll(resp)
	c.Assert(err, qt.IsNotNil)
	c.Assert(strings.HasPrefix("part", string(b)), qt.IsTrue)
	resp.Close()
}
