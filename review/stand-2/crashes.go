package main

import (
	"fmt"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

func init() { cases["crashes"] = crashes }

const (
	modelServers = 7 // of which one crashes at a time, a share of 0.143
	serverDown   = 3500 * time.Millisecond
	crashCount   = 6
	// calm is how long after the last crash the item is looked for: finish_s, and more than the 20 s within
	// which failures at servers count.
	calm = 26 * time.Second
)

// crashes lets model servers crash, one at a time, and looks for an item of a batch job long after.
func crashes(r *record, binary, dir string, trouble bool) (bool, error) {
	var servers []*platformtest.Target
	for i := range modelServers {
		servers = append(servers, &platformtest.Target{
			Instance: fmt.Sprintf("i-%d", i), Service: platformtest.TargetService, Slots: 8, Events: 24, Pace: 40 * time.Millisecond, Downtime: serverDown,
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
	const job = "7c41e09b52d6a3f8"
	var items []string
	for i := range 10 {
		items = append(items, fmt.Sprintf("e5b2907c14da6f3%d", i))
	}
	watched := items[0]
	if a := f.submit(0, job, items, 1000); a.Status != 202 {
		return false, fmt.Errorf("the batch job was answered %d %v", a.Status, a.Err)
	}
	r.printf("batch job %s with %d items is accepted", job, len(items))
	var lastCrash time.Time
	if trouble {
		for n, until := 0, time.Now().Add(50*time.Second); n < crashCount && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			for _, t := range servers {
				if !runs(t, watched) {
					continue
				}
				time.Sleep(100 * time.Millisecond)
				if runs(t, watched) {
					n++
					lastCrash = time.Now()
					t.Crash()
					r.printf("server %s crashes, for %v (number %d)", t.Instance, serverDown, n)
				}
			}
		}
	} else {
		time.Sleep(34 * time.Second)
		lastCrash = time.Now()
	}
	time.Sleep(time.Until(lastCrash.Add(calm)))
	idle := true
	for _, t := range servers {
		for _, x := range t.Runs() {
			if time.Since(x.At) < 5*time.Second && !x.Completed {
				idle = false
			}
		}
	}
	page, a := f.results(1, job, 0)
	listed := slices.ContainsFunc(page.Results, func(x platformtest.Result) bool { return x.ID == watched })
	r.printf("%v after the last crash: %d, %d of %d items are listed; item %s is listed: %v; the servers are idle: %v", time.Since(lastCrash).Round(time.Millisecond), a.Status, len(page.Results), page.Total, watched, listed, idle)
	for _, t := range servers {
		for _, x := range t.Runs() {
			if x.ID == watched {
				r.printf("ran at %s, %.3f s before: completed %v", t.Instance, time.Since(x.At).Seconds(), x.Completed)
			}
		}
	}
	if a.Status != 200 {
		return false, fmt.Errorf("the results can't be read")
	}
	return listed, nil
}

// runs reports whether the server runs the item now.
func runs(t *platformtest.Target, item string) bool {
	return slices.ContainsFunc(t.Runs(), func(x platformtest.Run) bool {
		return x.ID == item && !x.Completed && x.Fault == platformtest.None
	})
}
