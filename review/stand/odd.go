package main

import (
	"sync"
	"time"
)

// oddEntry: another writer leaves an entry without a version in the platform's list. It gives the service of the
// model servers for the address and ID of a server of another service. Rule ROUTE.
func oddEntry(f *fleet, trouble bool) int {
	if err := f.start(shape{controls: 3, stores: 4, entries: 5, sides: 4, plain: 2}); err != nil {
		return f.fail(err)
	}
	if err := f.configure(); err != nil {
		return f.fail(err)
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Add(1)
	go func() {
		defer g.Done()
		f.sendNotes(stop)
	}()
	time.Sleep(2 * time.Second)
	app := f.servers[len(f.servers)-1]
	if trouble {
		f.mu.Lock()
		f.odd = append(f.odd, map[string]any{
			"service": "lm-bay", "address": app.address(), "zone": app.zone, "slots": app.slots, "state": "ready", "cold_left_ms": 0, "id": app.id,
		})
		f.mu.Unlock()
		f.rec.printf("the list has an entry without a version: service lm-bay, address %s, id %s", app.address(), app.id)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	g.Wait()
	status := held
	for _, s := range f.servers {
		for _, r := range s.allRuns() {
			// All requests are for a route that leads to lm-bay alone.
			if s.service != "lm-bay" {
				f.rec.printf("ROUTE: server %s of %s runs %s, %s", s.id, s.service, r.id, r.path)
				status = broken
			}
		}
	}
	return status
}
