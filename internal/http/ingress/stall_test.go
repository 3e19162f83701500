package ingress

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// serveWithStallTimeout serves the entry's callers on another listener with the timeout.
func (e *testEntry) serveWithStallTimeout(d time.Duration) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(e.t, err, qt.IsNil)
	e.t.Cleanup(func() { l.Close() })
	// The entry already serves, so its StallTimeout can no longer be set.
	go func() { _ = e.server.http.Serve(&stallListener{Listener: l, clock: e.server.Clock, timeout: d}) }()
	e.url = "http://" + l.Addr().String()
}

// TestSlowStreamIsNotCut guards against a bound on the time of a whole response: a stream
// whose caller takes every event lasts several times as long as a caller may stall.
func TestSlowStreamIsNotCut(t *testing.T) {
	e := newEntry(t, &platformtest.Target{Events: 12, Pace: 100 * time.Millisecond})
	e.serveWithStallTimeout(400 * time.Millisecond)
	status, body, err := e.send(context.Background(), "stream", "r", secret)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, body, qt.Equals, streamText("r", 12))
}

// TestStalledCallerIsCut guards against a caller that stops reading and holds its target's
// slot until the request's deadline.
func TestStalledCallerIsCut(t *testing.T) {
	e := newEntry(t, &platformtest.Target{BodyBytes: 48 << 20})
	e.serveWithStallTimeout(200 * time.Millisecond)
	c, err := net.Dial("tcp", e.url[len("http://"):])
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", host, secret)
	for e.server.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	deadline := time.Now().Add(4 * time.Second) // the route's timeout is 5 s
	for e.server.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, e.server.InFlight(), qt.Equals, 0)
}
