package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// promptItem is an item of a batch job whose prompt has the given parts.
type promptItem struct{ id, prefix string }

// submitPrompts submits a batch job whose items are requests for tokens.
func (f *fleet) submitPrompts(entry int, job string, items []promptItem) platformtest.Response {
	type object = map[string]any
	var list []object
	for _, x := range items {
		list = append(list, object{
			"id": x.id, "path": "/batch/" + x.id, "body": base64.StdEncoding.EncodeToString([]byte(x.id)), "tokens": 600,
			"headers": map[string]string{"X-Model": "m", "X-Token-Usage": "350,250", "X-Prompt-Prefix": x.prefix},
		})
	}
	b, err := json.Marshal(object{"items": list})
	if err != nil {
		return platformtest.Response{Err: err}
	}
	return f.post(entry, "/batch/"+job, job, map[string]string{}, b)
}

// post sends a request to an entry.
func (f *fleet) post(entry int, path, id string, headers map[string]string, body []byte) platformtest.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.front(entry).String()+path, bytes.NewReader(body))
	if err != nil {
		return platformtest.Response{Err: err}
	}
	q.Host = platformtest.Host
	for k, v := range headers {
		q.Header.Set(k, v)
	}
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "4000")
	q.Header.Set("Authorization", "Bearer "+f.key)
	a, err := f.client.HTTP.Do(q)
	if err != nil {
		return platformtest.Response{Err: err}
	}
	defer func() { _ = a.Body.Close() }()
	content, err := io.ReadAll(a.Body)
	return platformtest.Response{Status: a.StatusCode, Body: string(content), Err: err}
}

// traffic sends online requests with prompts of their own until the context ends.
func (f *fleet) traffic(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		go func() {
			id := fmt.Sprintf("online-%d", n)
			prefix := fmt.Sprintf("5c1e07a%d:200,%x:250", n%5, 0x91bd3f06+n)
			a := f.post(n, "/stream/"+id, id, map[string]string{"X-Model": "m", "X-Token-Usage": "450,24", "X-Prompt-Prefix": prefix}, []byte(id))
			if a.Status != 200 {
				f.record.printf("online request %s: %d %v", id, a.Status, a.Err)
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
}
