package target

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// startEndlessServer starts a server that responds to its first request with first and
// then with next, again and again, until the client closes the connection. It returns the
// client and a channel that receives the number of bytes written.
func startEndlessServer(t *testing.T, first, next string) (*Client, <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	written := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		total := 0
		for b := first; ; b = next {
			n, err := io.WriteString(c, b)
			total += n
			if err != nil {
				written <- total
				return
			}
		}
	}()
	return &Client{Address: l.Addr().(*net.TCPAddr).AddrPort(), CloseDelimited: true}, written
}

// TestEndlessResponses guards against a response without end that fills the memory or
// keeps the processor busy until the request's deadline: each part that no reader of the
// body bounds ends after its own limit, with a verdict that says that the request may
// have run, and the connection is closed.
func TestEndlessResponses(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 1<<10)
	tests := []struct {
		name, first, next string
		inHead            bool // the failure is reported by Do, not by Read
	}{
		{"no response at all", long, long, true},
		{"status line", "HTTP/1.1 200 " + long, long, true},
		{"header line", ok + "X-A: " + long, long, true},
		{"headers", ok, "X-A: " + long + "\r\n", true},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", true},
		{"size of a chunk", chunked, "0", false},
		{"extension of a chunk", chunked + "1;" + long, long, false},
		{"trailer fields", chunked + "1\r\nx\r\n0\r\n", "X-A: b\r\n", false},
		{"trailer line", chunked + "1\r\nx\r\n0\r\nX-A:" + long, long, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, written := startEndlessServer(t, test.first, test.next)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			resp, err := client.Do(ctx, &Request{Method: "GET", Path: "/", Idempotent: true})
			qt.Assert(t, err != nil, qt.Equals, test.inHead, qt.Commentf("%v", err))
			if err != nil {
				qt.Assert(t, verdictOf(t, err), qt.Equals, rhubarbgate.MayHaveRun)
			} else {
				_, err = io.Copy(io.Discard, resp)
				qt.Assert(t, err, qt.IsNotNil)
				resp.Close()
			}
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("ended only with the deadline"))
			qt.Assert(t, client.idle, qt.HasLen, 0)
			// The socket buffers of both ends take what the client never reads.
			n := <-written
			qt.Assert(t, n < 16<<20, qt.IsTrue, qt.Commentf("%d bytes", n))
		})
	}
}

// TestBytesAfterResponse guards against taking bytes after the end of a response for the
// next one, whether they arrive with it or while the connection is idle.
func TestBytesAfterResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, extra := range []string{response, "garbage"} {
		s := startServer(t, response+extra, true)
		client := &Client{Address: s.address, KeepUnidentified: true}
		for range 3 {
			resp, err := client.Do(context.Background(), &Request{Method: "GET", Path: "/", Idempotent: true})
			qt.Assert(t, err, qt.IsNil)
			b, err := io.ReadAll(resp)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(b), qt.Equals, "ok")
			resp.Close()
		}
		client.CloseIdle()
	}
}

// FuzzResponse guards against panics, against headers whose names are no tokens, and against a body that is
// reported as complete although it has fewer bytes than its Content-Length.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nX Odd: a\r\n b\r\nContent-Length: 5\r\n\r\nhello",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, response string) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			_, _ = io.WriteString(far, response)
		}()
		defer near.Close()
		resp, err := newConn(near).roundTrip(&Request{Method: "GET", Path: "/"}, &Client{})
		if err != nil {
			return
		}
		for _, h := range resp.Headers {
			if !IsToken(h.Name) {
				t.Fatalf("header %q", h.Name)
			}
		}
		n, err := io.Copy(io.Discard, resp)
		if l, ok := resp.body.(*lengthReader); ok && err == nil && l.remaining != 0 {
			t.Fatalf("complete after %d bytes, %d missing", n, l.remaining)
		}
	})
}
