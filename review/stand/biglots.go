package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lotsInBurst is the burst of the site file: 6 times 0.686 batch jobs a second for 3 s.
	lotsInBurst = 12
	// bodyBytes is the size of an item's body. In base64, with the rest of the batch job, it stays below
	// max_body_bytes.
	bodyBytes = 3_100_000
	// usualGap is the time between two batch jobs at the usual rate of the site.
	usualGap = 1458 * time.Millisecond
	finish   = 18 * time.Second // finish_s
)

// bigLots: many batch jobs come at once, with bodies close to max_body_bytes. Rule LOST, finish_s.
func bigLots(f *fleet, trouble bool) int {
	if err := f.start(shape{controls: 3, stores: 4, entries: 5, sides: 2}); err != nil {
		return f.fail(err)
	}
	for _, s := range f.servers {
		s.setPace(200 * time.Millisecond) // 4 s an item
	}
	if err := f.configure(); err != nil {
		return f.fail(err)
	}
	time.Sleep(5 * time.Second)
	var lots []*lot
	for range lotsInBurst {
		lots = append(lots, newLot(newID(), 1, bodyBytes))
	}
	// Two small batch jobs come before, at the usual rate, and take all 16 slots for some seconds.
	small := []*lot{newLot(newID(), 8, 1500), newLot(newID(), 8, 1500)}
	for _, l := range small {
		if !f.submit(l, tenantKey) {
			return f.fail(fmt.Errorf("the first batch jobs were not accepted"))
		}
		time.Sleep(usualGap)
	}
	accepted := make([]bool, len(lots))
	var g sync.WaitGroup
	for i, l := range lots {
		if !trouble {
			time.Sleep(usualGap)
		}
		g.Add(1)
		go func() {
			defer g.Done()
			accepted[i] = f.submit(l, tenantKey)
		}()
	}
	g.Wait()
	f.rec.printf("traffic has ended; %v more", finish)
	time.Sleep(finish)
	return f.checkFinished(lots, accepted)
}

// checkFinished applies the rule LOST at the end of finish_s: each item of an accepted batch job is
// listed, unless a server had an unlisted item in the last 5 s, or servers were half full, or an
// item was finished in the last 3 s.
func (f *fleet) checkFinished(lots []*lot, accepted []bool) int {
	end := time.Now()
	unlisted := map[string]bool{}
	for i, l := range lots {
		if !accepted[i] {
			continue
		}
		listed, err := f.results(l, tenantKey)
		for range 5 {
			if err == nil {
				break
			}
			time.Sleep(500 * time.Millisecond)
			listed, err = f.results(l, tenantKey)
		}
		if err != nil {
			return f.fail(err)
		}
		for _, x := range l.items {
			unlisted[x.ID] = true
		}
		for _, x := range listed {
			f.rec.printf("lot %s: item %s is %s, %d bytes", l.id, x.ID, x.State, len(x.Output))
			delete(unlisted, x.ID)
		}
	}
	ran := map[string]int{}
	for _, s := range f.servers {
		for _, r := range s.allRuns() {
			ran[r.id]++
			if end.Sub(r.at) < 5*time.Second {
				f.rec.printf("excused: server %s had item %s in the last 5 s", s.id, r.id)
				return held
			}
		}
	}
	for id := range unlisted {
		f.rec.printf("LOST: item %s is not listed, its runs: %d; no server had an item in the last 5 s", id, ran[id])
	}
	if len(unlisted) > 0 {
		return broken
	}
	return held
}
