package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// evacuationBound is the time after the acknowledgement from which targets of an evacuated zone get nothing.
const evacuationBound = 5 * time.Second

// serveOperators serves the platform's calls of operators.
func (f *fleet) serveOperators() netip.AddrPort {
	l := f.listen()
	o := &platform.Operator{
		Client: &control.Client{Wire: wire.NewClient(nil), Hosts: f.seeds, Clock: clockwork.NewRealClock()}, Logger: &log.Logger{Handler: discard.New()},
	}
	server := o.Server()
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Shutdown() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// call sends an operator's call and returns the status.
func call(t *testing.T, method string, host netip.AddrPort, path string) int {
	request, err := http.NewRequest(method, "http://"+host.String(), nil)
	qt.Assert(t, err, qt.IsNil)
	request.URL.Opaque = path
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	return response.StatusCode
}

// TestEvacuationOrdersOfOperators guards against an order for a zone that does not exist or under a malformed
// name that is acknowledged, and against a repeated order that is not.
func TestEvacuationOrdersOfOperators(t *testing.T) {
	f := startFleetOf(t, 1, func(x *platformtest.Target) { x.Zone = "of targets" })
	host := f.serveOperators()
	tests := []struct {
		method, zone string
		want         int
	}{
		{http.MethodPost, "of%20targets", 200},
		{http.MethodPost, "of%20targets", 200},
		{http.MethodPost, "z", 200}, // of the control hosts
		{http.MethodDelete, "z", 200},
		{http.MethodDelete, "z", 200},
		{http.MethodDelete, "of%20targets", 200},
		{http.MethodPost, "unknown", 404},
		{http.MethodDelete, "unknown", 404},
		{http.MethodPost, "", 400},
		{http.MethodPost, "z/", 400},
		{http.MethodPost, "/z", 400},
		{http.MethodPost, "x/../z", 400},
		{http.MethodPost, "x%2Fz", 400},
		{http.MethodPost, strings.Repeat("z", 256), 404},
		{http.MethodPost, strings.Repeat("z", 257), 400},
		{http.MethodGet, "z", 400},
		{http.MethodPut, "z", 400},
	}
	for _, x := range tests {
		qt.Check(t, call(t, x.method, host, "/-/evacuate/"+x.zone), qt.Equals, x.want, qt.Commentf("%s %.20s", x.method, x.zone))
	}
	qt.Check(t, call(t, http.MethodPost, host, "/-/evacuate"), qt.Equals, 404)
}

// TestEvacuatedZoneGetsNothing guards against requests, items and probes that reach the targets of a zone later
// than evacuationBound after the acknowledgement, against jobs that stay behind there, and against a zone that
// stays without traffic once it is restored.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	n := 0
	f := startFleetOf(t, 4, func(x *platformtest.Target) {
		x.CrashPart, x.Pace = "", 30*time.Millisecond
		if n++; n > 2 {
			x.Zone = "y"
		}
	})
	f.startStores()
	for _, x := range f.targets {
		f.startSide(x, nil, f.seeds)
	}
	host := f.serveOperators()
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				f.send(i%entryCount, []string{"safe", "stream", "resume"}[k%3], fmt.Sprintf("c%d-%d", i, k), nil)
			}
		})
	}
	qt.Assert(t, f.submit(0, "job", callerKey, itemIDs("job", 60)).Status, qt.Equals, http.StatusAccepted)
	evacuated := f.targets[2:]
	arrivals := func(from, until time.Time) (list []platformtest.Arrival) {
		for _, x := range evacuated {
			for _, a := range x.Arrivals() {
				if a.At.After(from) && a.At.Before(until) {
					list = append(list, a)
				}
			}
		}
		return list
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, call(t, http.MethodPost, host, "/-/evacuate/y"), qt.Equals, 200)
	acknowledged := time.Now()
	qt.Assert(t, len(arrivals(began, acknowledged)) > 0, qt.IsTrue)
	time.Sleep(evacuationBound + 2*time.Second)
	restoring := time.Now()
	qt.Assert(t, arrivals(acknowledged.Add(evacuationBound), restoring), qt.HasLen, 0)
	f.awaitResults("job", callerKey, 60, 30*time.Second)
	restoring = time.Now()
	qt.Assert(t, arrivals(acknowledged.Add(evacuationBound), restoring), qt.HasLen, 0)
	qt.Assert(t, call(t, http.MethodDelete, host, "/-/evacuate/y"), qt.Equals, 200)
	probes, requests := 0, 0
	for until := time.Now().Add(20 * time.Second); probes*requests == 0 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		probes, requests = 0, 0
		for _, a := range arrivals(restoring, time.Now()) {
			if a.ID == "" {
				probes++
			} else {
				requests++
			}
		}
	}
	stop()
	callers.Wait()
	qt.Assert(t, probes > 0 && requests > 0, qt.IsTrue, qt.Commentf("%d probes, %d requests", probes, requests))
}

// TestOrderOfAnOperatorThatIsGone guards against an order that takes effect long after its operator repeated it
// elsewhere and withdrew it, because the host that got it first was frozen.
func TestOrderOfAnOperatorThatIsGone(t *testing.T) {
	f := startFleetOf(t, 1, func(*platformtest.Target) {})
	operator := f.serveOperators()
	// The call waits behind a listener that accepts nothing until its operator is gone.
	l := f.listen()
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	_, err = fmt.Fprint(c, "POST /-/evacuate/z HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	c.Close()
	client := &control.Client{Wire: wire.NewClient(nil), Hosts: f.seeds, Clock: clockwork.NewRealClock()}
	o := &platform.Operator{Client: client, Logger: &log.Logger{Handler: discard.New()}}
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	_ = o.Server().ServeConn(accepted)
	r, err := client.Evacuation(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Set.Version, qt.Equals, uint64(0))
	qt.Assert(t, call(t, http.MethodPost, operator, "/-/evacuate/z"), qt.Equals, 200)
}
