package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

func init() { cases["ends"] = ends }

const (
	ackTime    = 4 * time.Second // ack_ms
	cancelTime = 3 * time.Second // cancel_ms
	// jobItems items of about 2.4 s each need 4 servers with 8 slots for 15 s.
	jobItems = 200
)

// withRate returns the configuration with another limit of the tenant's requests.
func withRate(document []byte, perSecond float64) ([]byte, error) {
	var d map[string]any
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, err
	}
	for _, t := range d["tenants"].([]any) {
		t.(map[string]any)["rate_per_s"], t.(map[string]any)["burst"] = perSecond, perSecond
	}
	return json.Marshal(d)
}

// end sends DELETE for a batch job until it is acknowledged, each time on a new connection and at another entry, and
// honours Retry-After up to a third of the time that is left.
func (f *fleet) end(job string, until time.Time) (acknowledged time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		wait := 100 * time.Millisecond
		q, err := http.NewRequest(http.MethodDelete, "http://"+f.front(n).String()+"/-/lots/"+job, nil)
		if err != nil {
			return time.Time{}
		}
		q.Host = platformtest.Host
		q.Header.Set("Authorization", "Bearer "+f.key)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a, err := f.client.HTTP.Do(q.WithContext(ctx))
		if err != nil {
			f.record.printf("DELETE %s at %s: %v", job, f.entry[n%entries].name, err)
		} else {
			var body bytes.Buffer
			_, _ = body.ReadFrom(a.Body)
			_ = a.Body.Close()
			f.record.printf("DELETE %s at %s: %d Retry-After %q %q", job, f.entry[n%entries].name, a.StatusCode, a.Header.Get("Retry-After"), body.String())
			if a.StatusCode == http.StatusOK {
				cancel()
				return time.Now()
			}
			if s, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
				wait = max(wait, min(time.Duration(s*float64(time.Second)), time.Until(until)/3))
			}
		}
		cancel()
		time.Sleep(wait)
	}
	return time.Time{}
}

// ends lowers the limit of a tenant far below what it sends, and ends a batch job of this tenant.
func ends(r *record, binary, dir string, trouble bool) (bool, error) {
	var servers []*platformtest.Target
	for i := range 4 {
		servers = append(servers, &platformtest.Target{
			Instance: fmt.Sprintf("i-%d", i), Service: platformtest.TargetService, Slots: 8, Events: 60, Pace: 40 * time.Millisecond, PlainPrefixes: []string{"/safe/"},
		})
	}
	f, err := newFleet(binary, dir, r, servers)
	if err != nil {
		return false, err
	}
	defer f.stop()
	keys := map[string][]string{"huka270": {f.key}}
	if err := f.start(platformtest.Document(1, keys)); err != nil {
		return false, err
	}
	if trouble {
		document, err := withRate(platformtest.Document(2, keys), 1)
		if err != nil {
			return false, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a := f.client.Put(ctx, netip.AddrPortFrom(f.control[0].address, f.ports.control), document)
		cancel()
		if a.Status != 200 {
			return false, fmt.Errorf("the configuration was answered %d %v", a.Status, a.Err)
		}
		r.printf("a configuration is acknowledged: the tenant may send 1 request a second")
	}
	// The tenant's online traffic: 25 requests a second.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	statuses := map[int]int{}
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			go func() {
				id := fmt.Sprintf("online-%d", n)
				a := f.post(n, "/safe/"+id, id, nil, []byte(id))
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			}()
			time.Sleep(40 * time.Millisecond)
		}
	}()
	time.Sleep(5 * time.Second)
	const job = "7c41e09b52d6a3f8"
	var items []string
	for i := range jobItems {
		items = append(items, fmt.Sprintf("e5b2907c14da%04x", i))
	}
	a := f.submit(0, job, items, 1000)
	for n := 1; n < 4 && a.Status != 202; n++ {
		r.printf("batch job %s: %d %v", job, a.Status, a.Err)
		a = f.submit(n, job, items, 1000)
	}
	if a.Status != 202 {
		return false, fmt.Errorf("the batch job was answered %d %v", a.Status, a.Err)
	}
	r.printf("batch job %s with %d items is accepted", job, len(items))
	time.Sleep(time.Second)
	asked := time.Now()
	r.printf("its client ends it")
	ended := f.end(job, asked.Add(ackTime))
	if ended.IsZero() {
		ended = asked.Add(ackTime)
		r.printf("the end has no acknowledgement after %v, and counts as acknowledged", ackTime)
	}
	time.Sleep(time.Until(ended.Add(cancelTime + 4*time.Second)))
	cancel()
	mu.Lock()
	r.printf("answers to the tenant's online requests, by status: %v", statuses)
	mu.Unlock()
	late := 0
	for _, t := range servers {
		for _, x := range t.Runs() {
			after := x.At.Sub(ended)
			if x.ID[:4] != "e5b2" || after <= cancelTime {
				continue
			}
			if late++; late <= 5 {
				r.printf("item %s runs at server %s %v after the end counts as acknowledged", x.ID, t.Instance, after.Round(time.Millisecond))
			}
		}
	}
	r.printf("%d items run later than %v after the end", late, cancelTime)
	return late == 0, nil
}
