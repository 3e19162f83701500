package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
)

// startStrayServer starts a server that writes what respond returns for each request; n counts the
// requests of a connection. The returned counter is that of its connections.
func startStrayServer(t *testing.T, respond func(id string, n int) string) (*Client, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	var connections atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.WriteString(c, respond(r.Header.Get("X-Id"), n)); err != nil {
						return
					}
				}
			}()
		}
	}()
	client := &Client{Address: l.Addr().(*net.TCPAddr).AddrPort(), IDHeader: "X-Id"}
	t.Cleanup(client.CloseIdle)
	return client, &connections
}

// response returns a response with an ID, which may be empty.
func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(c *Client, id string) (string, error) {
	r, err := c.Do(context.Background(), &Request{Method: "GET", Path: "/", ID: id, Headers: []Header{{Name: "X-Id", Value: id}}, Idempotent: true})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

// TestStrayResponses guards against taking a response of another request for the own one, and
// against keeping a connection that carried one: what follows on it is uncertain.
func TestStrayResponses(t *testing.T) {
	long := strings.Repeat("x", maxStrayBytes+1)
	tests := []struct {
		name    string
		strays  string // ahead of the response to the second request of a connection
		skipped bool
		first   bool // ahead of the first one too
	}{
		{"earlier response", response("a", "old"), true, false},
		{"no ID", response("", "old"), true, false},
		{"two", response("a", "old") + response("", ""), true, false},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + response("a", "old"), true, false},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true, false},
		{"too many", strings.Repeat(response("a", "old"), maxStrayResponses+1), false, false},
		{"too long", response("a", long), false, false},
		{"ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nold", false, false},
		{"last of its connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false, false},
		{"on a new connection", response("a", "old"), false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, connections := startStrayServer(t, func(id string, n int) string {
				if n == 1 || test.first {
					return test.strays + response(id, id)
				}
				return response(id, id)
			})
			if !test.first {
				body, err := get(client, "a")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "a")
			}
			var strays []Stray
			client.OnStray = func(s Stray) { strays = append(strays, s) }
			body, err := get(client, "b")
			if test.skipped {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, "b")
			} else {
				qt.Assert(t, verdictOf(t, err), qt.Equals, rhubarbgate.MayHaveRun)
			}
			qt.Assert(t, len(strays) > 0 && strays[0].Request == "b", qt.IsTrue)
			qt.Assert(t, connections.Load(), qt.Equals, int64(1))
			qt.Assert(t, client.idle, qt.HasLen, 0)
		})
	}
}

// TestConnectionsNeedIDs guards against a response that could belong to another request of its
// connection: requests without an ID do not share connections, and no ID is sent twice on one.
func TestConnectionsNeedIDs(t *testing.T) {
	client, connections := startStrayServer(t, func(id string, _ int) string { return response(id, "") })
	for i, id := range []string{"a", "b", "a", "", "", "c"} {
		_, err := get(client, id)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, connections.Load(), qt.Equals, []int64{1, 1, 2, 3, 4, 4}[i], qt.Commentf("request %d", i))
	}
	for i := range 2 * maxRequestsPerConn {
		_, err := get(client, fmt.Sprint(i))
		qt.Assert(t, err, qt.IsNil)
	}
	// The kept connection and a new one carry all but two of them.
	qt.Check(t, connections.Load(), qt.Equals, int64(6))
}

// TestStrayInPlaceOfResponse guards against holding a request until its deadline although it could be
// sent again, and against taking the target for sound: a response of another request arrives,
// and then none.
func TestStrayInPlaceOfResponse(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		client, _ := startStrayServer(t, func(id string, n int) string {
			if n == 1 {
				return response("a", "old")
			}
			return response(id, "")
		})
		client.Clock, client.NonIdempotentMaxIdle = clockwork.NewRealClock(), time.Minute
		_, err := get(client, "a")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := deadline.WithTimeout(context.Background(), client.Clock, 2*time.Second)
		_, err = client.Do(ctx, &Request{Method: "POST", Path: "/", ID: "b", Headers: []Header{{Name: "X-Id", Value: "b"}}, Idempotent: idempotent})
		qt.Check(t, verdictOf(t, err), qt.Equals, rhubarbgate.MayHaveRun)
		qt.Check(t, rhubarbgate.AsError(err).Code, qt.Equals, rhubarbgate.CodeUpstream)
		qt.Check(t, deadline.Passed(ctx), qt.Equals, !idempotent)
		cancel()
	}
}

// TestHeadSharesNoConnection guards against reading the body of a response of another request as the
// head of the own one: a response to HEAD has no body, whatever its length says.
func TestHeadSharesNoConnection(t *testing.T) {
	client, connections := startStrayServer(t, func(id string, _ int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	})
	for i, method := range []string{"GET", "HEAD", "GET"} {
		id := fmt.Sprint(i)
		r, err := client.Do(context.Background(), &Request{Method: method, Path: "/", ID: id, Headers: []Header{{Name: "X-Id", Value: id}}, Idempotent: true})
		qt.Assert(t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, r)
		qt.Assert(t, err, qt.IsNil)
		r.Close()
	}
	qt.Check(t, connections.Load(), qt.Equals, int64(2))
}

// TestUnreadBytesAreReported guards against strays that nobody counts, because they arrive while the
// connection is idle or together with a response.
func TestUnreadBytesAreReported(t *testing.T) {
	client, connections := startStrayServer(t, func(id string, _ int) string { return response(id, "") + response(id, "") })
	strays := 0
	client.OnStray = func(Stray) { strays++ }
	for i := range 4 {
		_, err := get(client, fmt.Sprint(i))
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Check(t, connections.Load(), qt.Equals, int64(4))
	qt.Check(t, strays, qt.Equals, 4)
}
