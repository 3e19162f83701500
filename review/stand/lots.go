package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// item is one item of a batch job.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// lot is a batch job.
type lot struct {
	id    string
	items []item
}

// newID returns an ID as clients choose them.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newLot returns a batch job with n items whose bodies have the given size.
func newLot(id string, n, bodyBytes int) *lot {
	l := &lot{id: id}
	for i := range n {
		b := make([]byte, bodyBytes)
		for k := range b {
			b[k] = byte('a' + (k+i)%26)
		}
		l.items = append(l.items, item{
			ID: newID(), Path: fmt.Sprintf("%s%d/%s", batchPath, i, newID()[:4]), Body: base64.StdEncoding.EncodeToString(b), Tokens: 450,
			Headers: map[string]string{"X-Model": "m", "X-Token-Usage": "250,200", "X-Prompt-Prefix": newID()[:8] + ":100," + newID()[:8] + ":150"},
		})
	}
	return l
}

// headers are those of a call of the tenant.
func callHeaders(key, id string) map[string]string {
	h := map[string]string{"Host": routeHost, "Authorization": "Bearer " + key, "Content-Type": "application/json"}
	if id != "" {
		h["X-Request-Id"] = id
	}
	return h
}

// submit sends a batch job to an entry, and once more to another after a failure.
func (f *fleet) submit(l *lot, key string) bool {
	body, err := json.Marshal(map[string]any{"items": l.items})
	if err != nil {
		panic(err)
	}
	for i := range 3 {
		p := f.entries[(int(l.id[0])+i)%len(f.entries)]
		h := callHeaders(key, l.id)
		h["X-Deadline-Ms"] = "4000"
		f.rec.printf("lot %s with %d items, %d bytes sent to %s", l.id, len(l.items), len(body), p.name)
		status, text, err := call(http.MethodPost, fmt.Sprintf("http://%s:%d%s%s", p.ip, callerPort, batchPath, l.id[:6]), h, body, 5500*time.Millisecond)
		f.rec.printf("lot %s: %d %.80q %v", l.id, status, text, err)
		if err == nil && status == http.StatusAccepted {
			return true
		}
		if err == nil && status != http.StatusTooManyRequests && status < 500 {
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// result is one result of a batch job.
type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads all results of a batch job.
func (f *fleet) results(l *lot, key string) ([]result, error) {
	var list []result
	for {
		p := f.entries[rand.IntN(len(f.entries))]
		status, b, err := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/lots/%s?after=%d", p.ip, callerPort, l.id, len(list)), callHeaders(key, ""), nil, 3*time.Second)
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, fmt.Errorf("status %d", status)
		}
		var page struct {
			Total   int      `json:"total"`
			Next    int      `json:"next_token"`
			Results []result `json:"results"`
		}
		if err := json.Unmarshal(b, &page); err != nil {
			return nil, err
		}
		list = append(list, page.Results...)
		if len(page.Results) == 0 || len(list) >= page.Total {
			return list, nil
		}
	}
}
