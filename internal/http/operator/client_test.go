package operator

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
)

// startHost serves one connection as a control host that responds as soon as it has the head of a request. It then
// resets the connection after a time, or closes it if that is negative. The URL of the host is returned.
func startHost(t *testing.T, response string, untilReset time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		defer l.Close()
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		for line := ""; line != "\r\n"; {
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, response)
		if untilReset >= 0 {
			time.Sleep(untilReset)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return "http://" + l.Addr().String()
}

// TestResponsesThatAreBroken guards against a command that succeeds although the response of the control host, or of
// what stands in its place, is broken.
func TestResponsesThatAreBroken(t *testing.T) {
	tests := []struct {
		name, response string
		valid          bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"Version\":7}\r\n0\r\n\r\n", true},
		{"ends with the connection", "HTTP/1.1 200 OK\r\n\r\n{\"Version\":7}", true},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", true},
		{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", false},
		{"status 999", "HTTP/1.1 999 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", false},
		{"status 000 after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", false},
		{"blank inside a name", "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", false},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 13\r\n\r\n{\"Version\":7}9}", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", false},
		{"malformed trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"Version\":7}\r\n0\r\nX Odd: v\r\n\r\n", false},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Version\":7}", false},
		{"failure", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &Client{Base: startHost(t, test.response, -1)}
			x, err := c.Configuration()
			qt.Assert(t, err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			if test.valid {
				qt.Assert(t, x.Version, qt.Equals, uint64(7))
			}
		})
	}
}

// TestHostWithAName guards against a control host that is not reached because the URL has its name, one of whose
// addresses may refuse connections, and ends with a slash.
func TestHostWithAName(t *testing.T) {
	base := startHost(t, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"Version\":7}", -1)
	c := &Client{Base: strings.Replace(base, "127.0.0.1", "localhost", 1) + "/"}
	x, err := c.Configuration()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, x.Version, qt.Equals, uint64(7))
}

// TestEarlyResponseToBundle guards against a bundle that counts as committed because the control host responds to a
// part of it, without a length, and resets the connection.
func TestEarlyResponseToBundle(t *testing.T) {
	const attempts = 40
	b := &rhubarbgate.Bundle{Note: strings.Repeat("x", 8<<20)}
	for i := range attempts {
		untilReset := time.Duration(i%4) * time.Millisecond
		c := &Client{Base: startHost(t, "HTTP/1.1 200 OK\r\n\r\n{\"Version\":7}", untilReset)}
		_, err := c.Commit(b)
		qt.Assert(t, err, qt.IsNotNil)
	}
}
