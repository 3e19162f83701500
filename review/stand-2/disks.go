package main

import (
	"fmt"
	"os"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

func init() { cases["disks"] = disks }

// disks lets two store machines lose their disks, one after the other.
func disks(r *record, binary, dir string, trouble bool) (bool, error) {
	var servers []*platformtest.Target
	for i := range 4 {
		servers = append(servers, &platformtest.Target{Instance: fmt.Sprintf("i-%d", i), Service: platformtest.TargetService, Slots: 8, Events: 12, Pace: 20 * time.Millisecond})
	}
	f, err := newFleet(binary, dir, r, servers)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(platformtest.Document(1, map[string][]string{"huka270": {f.key}})); err != nil {
		return false, err
	}
	r.printf("the system serves")
	var accepted []string
	for n := range 24 {
		id := fmt.Sprintf("lot-%d", n)
		var items []string
		for i := range 100 {
			items = append(items, fmt.Sprintf("%s-%d", id, i))
		}
		for try := range 4 {
			a := f.submit(n+try, id, items, 30_000)
			r.printf("%s: %d %v", id, a.Status, a.Err)
			if a.Status == 202 {
				accepted = append(accepted, id)
				break
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	if trouble {
		for _, i := range []int{0, 1, 2, 3} {
			p := f.store[i]
			p.kill()
			_ = os.RemoveAll(p.data)
			time.Sleep(time.Second)
			r.printf("%s lost its disk and starts", p.name)
			if err := p.start(binary); err != nil {
				return false, err
			}
			time.Sleep(catchUp + 200*time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	ok := true
	for n, id := range accepted {
		var page platformtest.Page
		var a platformtest.Response
		for try := range 8 {
			page, a = f.results(n+try, id, 0)
			if a.Err == nil && a.Status == 200 {
				break
			}
			time.Sleep(250 * time.Millisecond)
		}
		r.printf("%s: %d, total %d, read %d", id, a.Status, page.Total, len(page.Results))
		ok = ok && a.Status == 200 && page.Total == 100
	}
	return ok, nil
}
