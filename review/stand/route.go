package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const settle = time.Second // settle_ms

// routeRemoved: a new version of the configuration removes the route of a batch job whose results had
// been read. Rule LOST, settle_ms.
func routeRemoved(f *fleet, trouble bool) int {
	if err := f.start(shape{controls: 3, stores: 4, entries: 5, sides: 4}); err != nil {
		return f.fail(err)
	}
	if err := f.configure(); err != nil {
		return f.fail(err)
	}
	time.Sleep(4 * time.Second)
	l := newLot(newID(), 10, 1500)
	if !f.submit(l, tenantKey) {
		return f.fail(fmt.Errorf("the batch job was not accepted"))
	}
	var before []result
	for until := time.Now().Add(30 * time.Second); len(before) < len(l.items); time.Sleep(500 * time.Millisecond) {
		r, err := f.results(l, tenantKey)
		if err == nil {
			before = r
		}
		if time.Now().After(until) {
			return f.fail(fmt.Errorf("only %d items are listed", len(before)))
		}
	}
	f.rec.printf("lot %s: all %d results were read", l.id, len(before))
	if err := f.put(changed(2, trouble)); err != nil {
		return f.fail(err)
	}
	f.rec.printf("configuration 2 acknowledged; it removes the route: %v", trouble)
	time.Sleep(settle + 5*time.Second)
	status := held
	for _, p := range f.entries {
		code, b, err := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/lots/%s?after=0", p.ip, callerPort, l.id), callHeaders(tenantKey, ""), nil, 3*time.Second)
		f.rec.printf("%s is asked for the results of %s: %d %.120q %v", p.name, l.id, code, b, err)
		if code == http.StatusNotFound || code == http.StatusGone {
			f.rec.printf("LOST: %s answers %d for a batch job whose %d results had been read", p.name, code, len(before))
			status = broken
		}
		if code == http.StatusOK {
			var page struct{ Results []result }
			if err := json.Unmarshal(b, &page); err != nil || len(page.Results) < len(before) || page.Results[0] != before[0] {
				f.rec.printf("LOST: %s lists %d results, %v", p.name, len(page.Results), err)
				status = broken
			}
		}
	}
	return status
}

// changed returns a further version of the configuration: it lacks the route of batch jobs, or else has
// another timeout of a route.
func changed(version int, withoutLots bool) []byte {
	var d map[string]any
	if err := json.Unmarshal(configuration(version), &d); err != nil {
		panic(err)
	}
	routes := d["routes"].([]any)
	if withoutLots {
		d["routes"] = routes[1:]
	} else {
		routes[2].(map[string]any)["timeout_ms"] = 1400
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// put sends a configuration until it is acknowledged.
func (f *fleet) put(document []byte) error {
	for i := range 20 {
		status, _, err := call(http.MethodPut, fmt.Sprintf("http://%s:%d/-/configuration", f.controls[i%len(f.controls)].ip, operatorPort), nil, document, time.Second)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}
