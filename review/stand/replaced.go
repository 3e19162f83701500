package main

import (
	"encoding/json"
	"time"
)

// routeReplaced: a new version of the configuration replaces the route of batch jobs whose items are still
// open by one that differs in its name alone. Rule LOST, finish_s.
func routeReplaced(f *fleet, trouble bool) int {
	if err := f.start(shape{controls: 3, stores: 4, entries: 5, sides: 2}); err != nil {
		return f.fail(err)
	}
	for _, s := range f.servers {
		s.setPace(200 * time.Millisecond)
	}
	if err := f.configure(); err != nil {
		return f.fail(err)
	}
	time.Sleep(4 * time.Second)
	var lots []*lot
	var accepted []bool
	for range 4 {
		l := newLot(newID(), 10, 1500)
		lots, accepted = append(lots, l), append(accepted, f.submit(l, tenantKey))
		time.Sleep(usualGap)
	}
	if err := f.put(renamed(2, trouble)); err != nil {
		return f.fail(err)
	}
	f.rec.printf("configuration 2 acknowledged; it replaces the route: %v", trouble)
	f.rec.printf("traffic has ended; %v more", finish)
	time.Sleep(finish)
	if !trouble {
		time.Sleep(5 * time.Second)
	}
	return f.checkFinished(lots, accepted)
}

// renamed returns a further version of the configuration, in which the route of batch jobs has another
// name, or else a route has another timeout.
func renamed(version int, lots bool) []byte {
	var d map[string]any
	if err := json.Unmarshal(configuration(version), &d); err != nil {
		panic(err)
	}
	routes := d["routes"].([]any)
	if lots {
		routes[0].(map[string]any)["name"] = "r-lots-2"
	} else {
		routes[2].(map[string]any)["timeout_ms"] = 1400
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}
