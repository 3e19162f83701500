package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	reuseDelay = 2 * time.Second        // reuse_delay_s
	listLag    = 800 * time.Millisecond // lag_ms
)

// addressReused: a model server ends for good, and its address goes to a server of another service, while
// the side process on that machine goes on. Rule ROUTE.
func addressReused(f *fleet, trouble bool) int {
	if err := f.start(shape{controls: 3, stores: 4, entries: 5, sides: 7}); err != nil {
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
	time.Sleep(3 * time.Second)
	old := f.servers[1]
	f.rec.printf("server %s of %s at %s ends for good", old.id, old.service, old.address())
	f.mu.Lock()
	// A server that has crashed stays on the list for some seconds.
	old.listedUntil = time.Now().Add(5 * time.Second)
	f.mu.Unlock()
	old.close()
	time.Sleep(reuseDelay + 800*time.Millisecond)
	service := old.service
	if trouble {
		service = "lm-desk"
	}
	next := newServer(f.rec, "i-next", service, old.zone, old.ip)
	next.listedFrom = time.Now().Add(listLag)
	if err := next.listen(); err != nil {
		return f.fail(err)
	}
	f.rec.printf("server %s of %s starts at %s; the list shows it %v later", next.id, next.service, next.address(), listLag)
	f.mu.Lock()
	f.servers = append(f.servers, next)
	f.mu.Unlock()
	time.Sleep(6 * time.Second)
	close(stop)
	g.Wait()
	status := held
	for _, s := range f.servers {
		for _, r := range s.allRuns() {
			// No configuration lets a route lead to lm-desk.
			if s.service == "lm-desk" {
				f.rec.printf("ROUTE: server %s of %s runs %s, %s", s.id, s.service, r.id, r.path)
				status = broken
			}
		}
	}
	return status
}

// sendNotes sends 50 streaming requests a second, each on a new connection, until stop is closed.
func (f *fleet) sendNotes(stop <-chan struct{}) {
	var g sync.WaitGroup
	defer g.Wait()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		p := f.entries[i%len(f.entries)]
		g.Add(1)
		go func() {
			defer g.Done()
			id := newID()
			h := callHeaders(tenantKey, id)
			h["X-Deadline-Ms"], h["X-Model"], h["X-Token-Usage"] = "5000", "m", "450,35"
			h["X-Prompt-Prefix"] = fmt.Sprintf("5c1e07a%d:200,%s:250", i%8, id[:8])
			f.rec.printf("request %s sent to %s", id, p.name)
			status, b, err := call(http.MethodPost, fmt.Sprintf("http://%s:%d%s2f", p.ip, callerPort, streamPath), h, []byte(strings.Repeat("x", 1500)), 7*time.Second)
			f.rec.printf("request %s: %d, %d bytes %v", id, status, len(b), err)
		}()
	}
}
