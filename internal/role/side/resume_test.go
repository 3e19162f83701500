package side

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// TestCompletionsEndOnlyAsAWhole guards against an item of the product's own API that is done with a
// part of its text, or with an error's text or status, after its stream broke off and was continued.
func TestCompletionsEndOnlyAsAWhole(t *testing.T) {
	const (
		events   = "text/event-stream"
		some     = `data: {"choices":[{"text":"a"}]}` + "\n\n"
		rest     = `data: {"choices":[{"text":"b"}]}` + "\n\n" + `data: {"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
		done     = "data: [DONE]\n\n"
		failed   = `data: {"error":{"message":"no room"}}` + "\n\n"
		freeText = "no room\n\n"
	)
	tests := []struct {
		name, contentType, body string
		status                  int
		ok                      bool
	}{
		{"whole", events, rest + done, 200, true},
		{"whole, with usage and comments", events, ": wait\n\n" + rest + `data: {"choices":[],"usage":{"prompt_tokens":1}}` + "\n\n" + done, 200, true},
		{"no end", events, rest, 200, false},
		{"ends at once", events, done, 200, false},
		{"an error and the end", events, failed + done, 200, false},
		{"no reason to end", events, `data: {"choices":[{"text":"b"}]}` + "\n\n" + done, 200, false},
		{"an event that is cut", events, `data: {"choices":[{"te` + "\n\n" + rest + done, 200, false},
		{"a head", events, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n" + freeText + rest + done, 200, false},
		{"text", "text/plain", rest + done, 200, false},
		{"JSON", "application/json", `{"choices":[]}`, 200, false},
		{"status 400", "application/json", freeText, 400, false},
		{"status 404", "application/json", freeText, 404, false},
		{"status 204", "", "", 204, false},
		{"status 206", events, rest + done, 206, false},
		{"status 503", events, rest + done, 503, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				n++
				if n == 1 {
					w.Header().Set("Content-Type", events)
					_, _ = io.WriteString(w, some)
					return
				}
				w.Header().Set("Content-Type", test.contentType)
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer s.Close()
			w := &worker{host: &Host{targetClient: &target.Client{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}}}
			in := &jobs.InputLine{URL: "/v1/completions", Body: json.RawMessage(`{"model":"m","prompt":"p"}`)}
			task := &task{}
			_, err := w.execute(context.Background(), task, in)
			qt.Assert(t, err != nil, qt.IsTrue)
			qt.Assert(t, task.partial.text, qt.Equals, "a")
			r, err := w.execute(context.Background(), task, in)
			qt.Assert(t, err == nil, qt.Equals, test.ok, qt.Commentf("%v %+v", err, r))
			if err == nil {
				qt.Assert(t, string(r.body), qt.Contains, `"text":"ab"`)
			} else {
				qt.Assert(t, strings.HasPrefix("ab", task.partial.text), qt.IsTrue)
			}
		})
	}
}
