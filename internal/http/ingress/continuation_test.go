package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// rawTargets serve requests with responses that are given byte for byte. Each request gets the
// next response, whichever target it reaches, and the last one is repeated.
type rawTargets struct {
	mu        sync.Mutex
	responses []string
	// lastEvents are the values of Last-Event-Id of the requests; kept counts the connections that
	// carried another request.
	lastEvents []string
	kept       int
}

// newRawEntry returns an entry with four targets that serve the responses.
func newRawEntry(t *testing.T, responses ...string) (*testEntry, *rawTargets) {
	r := &rawTargets{responses: responses}
	e := newEntry(t)
	for i := range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = l.Close() })
		go r.serve(l)
		e.list.Extra = append(e.list.Extra, json.RawMessage(fmt.Sprintf(`{"id":"i-%d","service":"lm","address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0}`, i, l.Addr())))
	}
	e.server.Targets.Refresh(context.Background())
	return e, r
}

func (r *rawTargets) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(c)
	}
}

// serveConn serves the requests of a connection until a response that ends with it.
func (r *rawTargets) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		r.mu.Lock()
		response := r.responses[min(len(r.lastEvents), len(r.responses)-1)]
		r.lastEvents = append(r.lastEvents, q.Header.Get("Last-Event-Id"))
		r.kept += min(n, 1)
		r.mu.Unlock()
		_, err = io.WriteString(c, strings.ReplaceAll(response, "{id}", q.Header.Get("X-Request-Id")))
		if err != nil || !strings.Contains(response, "Content-Length:") && !strings.HasSuffix(response, "\r\n0\r\n\r\n") {
			return
		}
	}
}

// eventsOf returns the events from first to last.
func eventsOf(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", i, i)
	}
	return b.String()
}

// response returns a response with chunks. The status and the headers follow each other in head.
func response(head, body string) string {
	return "HTTP/1.1 " + head + "X-Request-Id: {id}\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

const streamHead = "200 OK\r\nContent-Type: text/event-stream\r\n"

// stream returns a complete stream, cutStream one whose connection ends without the last chunk.
func stream(body string) string    { return response(streamHead, body) }
func cutStream(body string) string { return strings.TrimSuffix(stream(body), "0\r\n\r\n") }

// unframed returns a stream that ends with its connection.
func unframed(body string) string {
	return "HTTP/1.1 " + streamHead + "X-Request-Id: {id}\r\nX-Server-Stamp: s\r\n\r\n" + body
}

// strayHead is the start of a response that does not belong where it stands.
const strayHead = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nX-Not-Run: 1\r\n\r\nno room\n\n"

// notStreams are responses that are neither a stream nor a part of one.
func notStreams() map[string]string {
	m := map[string]string{
		"JSON":                    response("200 OK\r\nContent-Type: application/json\r\n", "{\"error\":\"no room\"}\n\n"),
		"text":                    response("200 OK\r\nContent-Type: text/plain\r\n", "no room\n\n"),
		"field of text":           response(streamHead, "error: no room\n\n"),
		"JSON as a stream":        response(streamHead, "{\"error\": \"no room\"}\n\n"),
		"text as a stream":        response(streamHead, "no room\n\n"),
		"events of another type":  response("200 OK\r\nContent-Type: text/plain\r\n", eventsOf(4, 6)),
		"compressed":              response(streamHead+"Content-Encoding: gzip\r\n", eventsOf(4, 6)),
		"ends at once":            stream(""),
		"is empty":                "HTTP/1.1 " + streamHead + "X-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
		"a head":                  stream(strayHead),
		"a head, unframed":        unframed(strayHead),
		"a head in place of data": strings.TrimSuffix(stream(""), "0\r\n\r\n") + strayHead,
	}
	return m
}

// TestContinuationsThatAreNone guards against a stream that broke off and goes on with the text of
// an error, with events that it had before or that leave one out, or that ends there as if it were
// complete. The caller gets the sound continuation of a third target, or a stream cut where the
// first one broke off.
func TestContinuationsThatAreNone(t *testing.T) {
	cases := notStreams()
	cases["only comments"] = stream(": wait\n\n: wait\n\n")
	for _, status := range []int{204, 206, 301, 307, 400, 404, 408, 421, 422, 429, 500, 502, 503, 504} {
		head := fmt.Sprintf("%d %s\r\nContent-Type: text/event-stream\r\n", status, http.StatusText(status))
		body := "error: no room\n\n" + eventsOf(4, 6)
		cases[fmt.Sprintf("status %d", status)] = response(head, body)
		if status == 204 {
			cases["status 204"] = "HTTP/1.1 204 No Content\r\nX-Request-Id: {id}\r\n\r\n"
		}
		cases[fmt.Sprintf("status %d, not run", status)] = response(head+"X-Not-Run: 1\r\n", body)
	}
	for name, body := range map[string]string{
		"again from the last event": eventsOf(3, 6), "again from an earlier event": eventsOf(2, 6), "again from the start": eventsOf(1, 6),
		"an event left out": eventsOf(5, 6), "no ID": "data: piece-4\n\n" + eventsOf(5, 6), "an ID that is no number": "id: x\ndata: piece-4\n\n",
		"a negative ID": "id: -4\ndata: piece-4\n\n", "an ID out of range": "id: 99999999999999999999\ndata: piece-4\n\n",
	} {
		cases[name], cases[name+", unframed"] = stream(body), unframed(body)
	}
	first := cutStream(eventsOf(1, 3) + "id: 4\ndata: pi")
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			e, targets := newRawEntry(t, first, bad, stream(eventsOf(4, 6)))
			status, body, err := e.send(context.Background(), "resume", "r", secret)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, 200)
			qt.Check(t, body, qt.Equals, eventsOf(1, 6))
			qt.Check(t, targets.lastEvents, qt.DeepEquals, []string{"", "3", "3"})

			e, _ = newRawEntry(t, first, bad)
			_, body, err = e.send(context.Background(), "resume", "r", secret)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("the stream seems complete: %q", body))
			qt.Check(t, strings.HasPrefix(eventsOf(1, 3), body), qt.IsTrue, qt.Commentf("%q", body))
		})
	}
}

// TestStreamsThatGoWrong guards against a stream that goes on with bytes or events that do not
// belong to it, in its first response or in one that continues it. The caller gets the events
// before them, and the rest from another target if the stream can be resumed.
func TestStreamsThatGoWrong(t *testing.T) {
	withHead := func(body string) string { return body + strayHead }
	cases := map[string]string{
		"a head":                       withHead(eventsOf(4, 5)),
		"a head within data":           withHead(eventsOf(4, 5) + "id: 6\ndata: pi"),
		"a head within an ID":          withHead(eventsOf(4, 5) + "id: 6"),
		"a head within a field's name": withHead(eventsOf(4, 5) + "id: 6\nda"),
		"a head after data":            withHead(eventsOf(4, 5) + "id: 6\ndata: piece-6\n"),
		"a head in small letters":      eventsOf(4, 5) + "id: 6\ndata: piHTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n\r\n",
		"text":                         eventsOf(4, 5) + "no room\n\n",
		"JSON":                         eventsOf(4, 5) + "{\"error\":\"no room\"}\n\n",
		"an event twice":               eventsOf(4, 5) + eventsOf(5, 6),
		"from the start again":         eventsOf(4, 5) + eventsOf(1, 6),
		"an event left out":            eventsOf(4, 5) + eventsOf(7, 7),
		"an ID that is no number":      eventsOf(4, 5) + "id: x\ndata: piece-6\n\n",
		"inside an event":              eventsOf(4, 5) + "id: 6\ndata: pi",
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			for shape, bad := range map[string]string{"chunked": stream(bad), "unframed": unframed(bad)} {
				e, _ := newRawEntry(t, cutStream(eventsOf(1, 3)), bad, stream(eventsOf(6, 6)))
				_, body, err := e.send(context.Background(), "resume", "r", secret)
				qt.Check(t, err, qt.IsNil, qt.Commentf("continuation, %s", shape))
				qt.Check(t, body, qt.Equals, eventsOf(1, 6), qt.Commentf("continuation, %s", shape))

				e, _ = newRawEntry(t, bad, stream(eventsOf(6, 6)))
				_, body, err = e.send(context.Background(), "resume", "r", secret)
				qt.Check(t, err, qt.IsNil, qt.Commentf("first response, %s", shape))
				qt.Check(t, body, qt.Equals, eventsOf(4, 6), qt.Commentf("first response, %s", shape))

				e, _ = newRawEntry(t, bad)
				_, body, err = e.send(context.Background(), "stream", "r", secret)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("not resumed, %s", shape))
				qt.Check(t, strings.HasPrefix(eventsOf(4, 5), body), qt.IsTrue, qt.Commentf("not resumed, %s: %q", shape, body))

				e, targets := newRawEntry(t, bad)
				for n := range 4 {
					_, _, err = e.send(context.Background(), "resume", fmt.Sprintf("r%d", n), secret)
					qt.Check(t, err, qt.IsNotNil)
				}
				qt.Check(t, len(targets.lastEvents) > 4, qt.IsTrue)
				qt.Check(t, targets.kept, qt.Equals, 0, qt.Commentf("a connection carried more after this, %s", shape))
			}
		})
	}
}

// TestFirstResponsesThatAreNoStream guards against the same faults in the first response, also to
// a caller that resumes a stream itself. It gets a sound stream of another target, or an error.
func TestFirstResponsesThatAreNoStream(t *testing.T) {
	for name, bad := range notStreams() {
		t.Run(name, func(t *testing.T) {
			e, _ := newRawEntry(t, bad, stream(eventsOf(1, 6)))
			status, body, err := e.send(context.Background(), "resume", "r", secret)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, 200)
			qt.Check(t, body, qt.Equals, eventsOf(1, 6))

			e, _ = newRawEntry(t, bad)
			status, body, err = e.send(context.Background(), "stream", "r", secret)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", body))

			// Requests that may be repeated use kept connections, but none that carried this.
			e, targets := newRawEntry(t, bad)
			for n := range 4 {
				status, body, err = e.send(context.Background(), "resume", fmt.Sprintf("r%d", n), secret)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, status, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", body))
			}
			qt.Check(t, len(targets.lastEvents) > 4, qt.IsTrue)
			qt.Check(t, targets.kept, qt.Equals, 0)
		})
	}
	// Comments are passed on at once, and the caller has the head with them.
	t.Run("only comments", func(t *testing.T) {
		comments := ": wait\n\n: wait\n\n"
		for _, first := range []string{stream(comments), cutStream(comments), unframed(comments)} {
			e, targets := newRawEntry(t, first, stream(eventsOf(1, 6)))
			_, body, err := e.send(context.Background(), "resume", "r", secret)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, comments+eventsOf(1, 6))
			qt.Check(t, targets.lastEvents, qt.DeepEquals, []string{"", ""})
			e, _ = newRawEntry(t, first)
			_, body, err = e.send(context.Background(), "stream", "r", secret)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("the stream seems complete: %q", body))
		}
	})
	for _, first := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprintf("resumed by the caller, from event %d", first), func(t *testing.T) {
			e, targets := newRawEntry(t, stream(eventsOf(first, 6)), stream(eventsOf(4, 6)))
			e.lastEvent = "3"
			_, body, err := e.send(context.Background(), "resume", "r", secret)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, body, qt.Equals, eventsOf(4, 6))
			qt.Check(t, targets.lastEvents, qt.DeepEquals, []string{"3", "3"})
		})
	}
}

// TestSoundStreamsAreNotCut guards against a check that cuts streams of an unusual but sound form.
func TestSoundStreamsAreNotCut(t *testing.T) {
	tests := []struct{ name, first, rest string }{
		{"as usual", eventsOf(1, 3), eventsOf(4, 6)},
		{"IDs from 7", eventsOf(7, 8), eventsOf(9, 9)},
		{"the first event without an ID", "event: start\ndata: {}\n\n" + eventsOf(1, 2), eventsOf(3, 3)},
		{"comments", ": wait\n\n:\n\n" + eventsOf(1, 2) + ": wait\n\n", eventsOf(3, 3) + ": end\n\n"},
		{"a last event without an ID", eventsOf(1, 2), eventsOf(3, 3) + "data: [DONE]\n\n"},
		{"other versions", "x-weight-versions: 3\n" + eventsOf(1, 2), "x-weight-versions: 4\n" + eventsOf(3, 3)},
		{"lines that end with CRLF", "retry: 100\r\n\r\nid:1\r\ndata:a\r\ndata\r\n\r\n", "id:2\r\nevent: x\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, first := range []string{cutStream(test.first + "id"), unframed(test.first + "id")} {
				e, _ := newRawEntry(t, first, stream(test.rest))
				_, body, err := e.send(context.Background(), "resume", "r", secret)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, test.first+test.rest)
			}
			e, targets := newRawEntry(t, stream(test.first+test.rest))
			for range 2 {
				_, body, err := e.send(context.Background(), "stream", "r", secret)
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, test.first+test.rest)
			}
			qt.Check(t, len(targets.lastEvents), qt.Equals, 2)
		})
	}
}

// TestStreamsWithoutNumbersAreNotResumed guards against a stream that is continued where nothing
// shows that the continuation begins after what the caller has.
func TestStreamsWithoutNumbersAreNotResumed(t *testing.T) {
	for _, text := range []string{"data: a\n\ndata: b\n\n", "id: x\ndata: a\n\nid: y\ndata: b\n\n", eventsOf(1, 2) + "data: c\n\n"} {
		e, _ := newRawEntry(t, stream(text))
		_, body, err := e.send(context.Background(), "resume", "r", secret)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, body, qt.Equals, text)
		e, targets := newRawEntry(t, cutStream(text), stream(text))
		_, body, err = e.send(context.Background(), "resume", "r", secret)
		qt.Check(t, err, qt.IsNotNil)
		qt.Check(t, strings.HasPrefix(text, body), qt.IsTrue)
		qt.Check(t, targets.lastEvents, qt.HasLen, 1)
	}
}
