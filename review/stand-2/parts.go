package main

import (
	"context"
	"fmt"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

func init() { cases["parts"] = parts }

// parts lets three model servers crash, one at a time, and submits a batch job afterwards whose prompts begin as that
// of an item which ran on them.
func parts(r *record, binary, dir string, trouble bool) (bool, error) {
	var servers []*platformtest.Target
	for i := range modelServers {
		servers = append(servers, &platformtest.Target{
			Instance: fmt.Sprintf("i-%d", i), Service: platformtest.TargetService, Slots: 8, Events: 8, Pace: 150 * time.Millisecond, Downtime: serverDown,
		})
	}
	f, err := newFleet(binary, dir, r, servers)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(platformtest.Document(1, map[string][]string{"huka270": {f.key}})); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.traffic(ctx)
	time.Sleep(2 * time.Second)
	const first, second, shared = "7c41e09b52d6a3f8", "88aa0b3c1d2e4f50", "9c2e41:100"
	watched := "e5b2907c14da6f30"
	if a := f.submitPrompts(0, first, []promptItem{{watched, shared + ",5d07b8:250"}}); a.Status != 202 {
		return false, fmt.Errorf("the batch job was answered %d %v", a.Status, a.Err)
	}
	r.printf("batch job %s with 1 item is accepted", first)
	if trouble {
		for n, until := 0, time.Now().Add(30*time.Second); n < 3 && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			for _, t := range servers {
				if runs(t, watched) {
					time.Sleep(60 * time.Millisecond)
					n++
					t.Crash()
					r.printf("server %s crashes, for %v (number %d)", t.Instance, serverDown, n)
				}
			}
		}
	}
	time.Sleep(serverDown + 500*time.Millisecond)
	r.printf("all servers are back")
	var items []promptItem
	for i := range 10 {
		items = append(items, promptItem{fmt.Sprintf("0a1b2c3d4e5f600%d", i), fmt.Sprintf("%s,77%04x:250", shared, i)})
	}
	if a := f.submitPrompts(1, second, items); a.Status != 202 {
		return false, fmt.Errorf("the second batch job was answered %d %v", a.Status, a.Err)
	}
	accepted := time.Now()
	r.printf("batch job %s with %d items is accepted", second, len(items))
	time.Sleep(4 * time.Second)
	cancel()
	r.printf("the traffic ends")
	for range 5 {
		time.Sleep(finish / 4)
		a, x := f.results(0, first, 0)
		b, y := f.results(1, second, 0)
		r.printf("%.1f s after the second job was accepted: %d of 1 and %d of %d items are listed (status %d, %d)", time.Since(accepted).Seconds(), len(a.Results), len(b.Results), b.Total, x.Status, y.Status)
	}
	if x := f.post(0, "/stream/online-last", "online-last", map[string]string{"X-Model": "m", "X-Token-Usage": "350,24", "X-Prompt-Prefix": shared + ",99aa:250"}, []byte("x")); true {
		r.printf("an online request whose prompt has the part: %d %q", x.Status, x.Body[:min(len(x.Body), 120)])
	}
	page, a := f.results(1, second, 0)
	if a.Status != 200 {
		return false, fmt.Errorf("the results can't be read")
	}
	for _, t := range servers {
		for _, x := range t.Runs() {
			if x.ID == watched || len(x.ID) > 10 && x.ID[:10] == "0a1b2c3d4e" {
				r.printf("item %s ran at %s, %.3f s before: completed %v", x.ID, t.Instance, time.Since(x.At).Seconds(), x.Completed)
			}
		}
	}
	return len(page.Results) == len(items), nil
}
