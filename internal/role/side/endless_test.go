package side

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// TestEndlessAnswersToItems guards against a response to an item without end that fills the memory of the side: the body of
// any status, and events that never come to an end. A failure of the target stays one, so that the item is tried again.
func TestEndlessAnswersToItems(t *testing.T) {
	long := strings.Repeat("x", 1<<10)
	event := `data: {"choices":[{"text":"` + long + `"}]}` + "\n\n"
	tests := []struct {
		name, url, contentType string
		status                 int
		first, next            string
		permanent              bool
	}{
		{"completion, status 500", "/v1/completions", "application/json", 500, "", long, false},
		{"completion, status 400", "/v1/completions", "application/json", 400, "", long, true},
		{"completion, events", "/v1/completions", "text/event-stream", 200, "", event, false},
		{"completion, one event", "/v1/completions", "text/event-stream", 200, "data: ", long, false},
		{"completion, comments", "/v1/completions", "text/event-stream", 200, ": ", long, false},
		{"other request, status 200", "/v1/embeddings", "application/json", 200, "", long, true},
		{"other request, status 503", "/v1/embeddings", "application/json", 503, "", long, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var written atomic.Int64
			ended := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				w.Header().Set("Content-Type", test.contentType)
				w.WriteHeader(test.status)
				for b := test.first; r.Context().Err() == nil; b = test.next {
					n, err := io.WriteString(w, b)
					if written.Add(int64(n)); err != nil {
						return
					}
				}
			}))
			defer s.Close()
			w := &worker{host: &Host{targetClient: &target.Client{Address: netip.MustParseAddrPort(s.Listener.Addr().String())}}}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			in := &jobs.InputLine{URL: test.url, Body: json.RawMessage(`{"model":"m","prompt":"p"}`)}
			_, err := w.execute(ctx, &task{}, in)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("ended only with the deadline"))
			qt.Assert(t, err.Code.Status() == http.StatusBadRequest, qt.Equals, test.permanent, qt.Commentf("%v", err))
			<-ended
			// The socket buffers of both ends take what the side never reads.
			qt.Assert(t, written.Load() < 16<<20, qt.IsTrue, qt.Commentf("%d bytes", written.Load()))
		})
	}
}
