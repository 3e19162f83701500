package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// TestEvacuatedZone guards against a retry in a zone that is evacuated while a request runs, against holding
// requests that only evacuated targets could run, and against cutting a request in flight.
func TestEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	first := &platformtest.Target{Pace: 300 * time.Millisecond}
	e := newEntry(t, first)
	done := make(chan int)
	go func() {
		status, _, _ := e.send(context.Background(), "unsafe", "in-flight", secret)
		done <- status
	}()
	for len(first.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.server.Targets.SetEvacuation(evacuation.Set{Version: 1, Zones: []string{"z"}}, time.Now())
	c.Assert(<-done, qt.Equals, http.StatusOK)
	for _, route := range []string{"safe", "unsafe", "stream", "resume"} {
		sent := time.Now()
		request, err := http.NewRequest(http.MethodPost, e.url+"/"+route+"/x", nil)
		c.Assert(err, qt.IsNil)
		request.Host = host
		request.Header.Set("X-Request-Id", "refused-"+route)
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := http.DefaultClient.Do(request)
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		c.Check(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(response.Header.Get("Retry-After"), qt.Equals, "1.000", qt.Commentf("%v", response.Header))
		c.Check(time.Since(sent) < time.Second, qt.IsTrue)
	}
	c.Assert(first.Runs(), qt.HasLen, 1)
	c.Assert(e.server.Counts.Evacuated.Value(), qt.Equals, int64(4))
	e.server.Targets.SetEvacuation(evacuation.Set{Version: 2}, time.Now())
	status, body, err := e.send(context.Background(), "safe", "restored", secret)
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}
