package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a server began to run.
type run struct {
	id, tenant, method, path, host, lastEvent, body string
	at                                              time.Time
	complete                                        bool
}

// server is a stand-in for a model server or an application server. It runs slots requests at once
// and queues a few more.
type server struct {
	id, service, zone, ip string
	slots, events         int
	pace                  time.Duration
	rec                   *record
	// listedFrom and listedUntil are when the platform's list shows the server; zero means always.
	listedFrom, listedUntil time.Time

	http     *http.Server
	capacity chan struct{}
	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	runs     []*run
}

// maxQueue is how many requests wait for a slot; further ones are rejected.
const maxQueue = 24

func newServer(rec *record, id, service, zone, ip string) *server {
	return &server{id: id, service: service, zone: zone, ip: ip, slots: 8, events: 20, pace: 10 * time.Millisecond, rec: rec}
}

func (s *server) address() string { return fmt.Sprintf("%s:%d", s.ip, serverPort) }

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	s.capacity = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

func (s *server) close() {
	if s.http != nil {
		_ = s.http.Close()
	}
}

// allRuns returns copies of the runs so far.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r []run
	for _, x := range s.runs {
		r = append(r, *x)
	}
	return r
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	report := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": 0, "waiting": s.waiting, "running": s.running, "kv_used": 0, "kv_total": 134354, "handles": 0,
	}
	s.mu.Unlock()
	w.Header().Set("X-Instance-Id", s.id)
	if r.Method == http.MethodGet && r.URL.Path == "/-/report" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.Header().Set("X-Server-Load", load)
		return
	}
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	reject := func(status int) {
		s.rec.printf("server %s rejects %s with %d, expected %q", s.id, id, status, r.Header.Get("X-Expect-Instance"))
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= maxQueue {
		s.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	left := func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
	select {
	case s.capacity <- struct{}{}:
		left()
	case <-r.Context().Done():
		left()
		return
	}
	s.run(w, r, id, body)
}

// run runs a request in a slot.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	digest := sha256.Sum256(body)
	x := &run{
		id: id, tenant: r.Header.Get("X-Tenant"), method: r.Method, path: r.RequestURI, host: r.Host, lastEvent: r.Header.Get("Last-Event-Id"),
		body: hex.EncodeToString(digest[:8]), at: time.Now(),
	}
	s.mu.Lock()
	s.running++
	s.sequence++
	pace := s.pace
	stamp := fmt.Sprintf("%s.%d", s.id, s.sequence)
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.rec.printf("server %s runs %s: %s %s host %s tenant %q, %d bytes %s, last event %q", s.id, id, x.method, x.path, x.host, x.tenant, len(body), x.body, x.lastEvent)
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		<-s.capacity
	}()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", stamp)
	if s.service == "ledger-app" {
		time.Sleep(pace)
		_, _ = io.WriteString(w, "answer to "+id)
		s.complete(x)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(x.lastEvent)
	for i := first + 1; i <= s.events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(pace):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		w.(http.Flusher).Flush()
	}
	s.complete(x)
}

func (s *server) complete(x *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x.complete = true
}

// setPace sets the time before each event.
func (s *server) setPace(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = d
}
