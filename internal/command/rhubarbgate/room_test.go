package rhubarbgate

import (
	"bufio"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/policy/admission"
)

// TestRoom guards against a table that misses figures of an entry, and against a failure to show the
// others if an entry does not answer.
func TestRoom(t *testing.T) {
	c := qt.New(t)
	newMetrics("Entry").Set("Room", expvar.Func(func() any {
		return []admission.ServiceSnapshot{{
			Service: "chat", Contended: true, SentFree: 10, RefusedShare: 3, Ranks: []admission.RankSnapshot{{Rank: 1, Sent: 10, Refused: 3}},
			Busiest: []admission.WorkspaceSnapshot{{Workspace: "acme", Use: 4, Share: 2, InFlight: 5, Sent: 10, Refused: 3, Limited: true}},
		}}
	}))
	// The port is free again for the counters; another process might take it meanwhile, which fails the test.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(serveDebug(address, nil), qt.IsNil)
	code, out, errs := run("room", "--debug", address+","+address, "127.0.0.1:1")
	c.Assert(code, qt.Equals, 0)
	c.Assert(errs, qt.Contains, "127.0.0.1:1: ")
	var rows []string
	for _, line := range strings.Split(out, "\n") {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	for _, want := range []string{"chat 2 2 0.0 20 0 0 0 0 0 6 0 0", "chat 1 20 6", "chat acme 8.0 4.0 10 20 6 true"} {
		c.Check(rows, qt.Contains, want)
	}
	code, _, errs = run("room", "--debug", "127.0.0.1:1")
	c.Assert(code, qt.Equals, 1)
	c.Assert(errs, qt.Contains, "no entry answered")
	code, _, errs = run("room")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(errs, qt.Contains, "--debug")
}

// TestRoomOfBrokenResponses guards against figures that are taken from a broken response.
func TestRoomOfBrokenResponses(t *testing.T) {
	const body = `{"Entry":{"Room":[{"Service":"chat"}]}}`
	tests := []struct {
		name, head string
		valid      bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\n", true},
		{"status 000", "HTTP/1.1 000 OK\r\n", false},
		{"blank inside a name", "HTTP/1.1 200 OK\r\nX Odd: v\r\n", false},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Odd : v\r\n", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Odd: v\r\n", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", test.head, len(body), body)
				}
			}()
			room, err := entryRoom(l.Addr().(*net.TCPAddr).AddrPort())
			c.Assert(err == nil, qt.Equals, test.valid, qt.Commentf("%v", err))
			c.Assert(len(room) == 1, qt.Equals, test.valid)
		})
	}
}
