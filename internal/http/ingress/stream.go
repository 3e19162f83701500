package ingress

import (
	"io"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
)

// lastEventHeader names the event behind which a stream goes on, as server-sent
// events define it.
const lastEventHeader = "Last-Event-Id"

// stream passes whole events on to the caller as they come. The first event is
// awaited, so that a failure before it can still be repeated or told.
func (a *attempt) stream() *rhubarbgate.Error {
	r := &relay{attempt: a, events: events.NewReader(a.answer)}
	first, err := r.events.Next()
	if err != nil && err != io.EOF {
		a.server.Counts.Cut.Add(1)
		a.end(true)
		return a.broken(err)
	}
	r.take(first)
	a.copyHead()
	a.x.HTTP.Response.SetBodyStream(r, -1)
	return nil
}

// relay is the body of a streamed answer.
type relay struct {
	*attempt
	events *events.Reader
	last   string
	rest   []byte
	closed bool
}

func (r *relay) take(e events.Event) {
	r.rest = e.Raw
	if e.ID != "" {
		r.last = e.ID
	}
}

// Read implements io.Reader for the HTTP server. After a failure that cannot be
// mended it returns an error, so that the connection is closed without the end
// of the body: a cut answer never looks whole.
func (r *relay) Read(b []byte) (int, error) {
	for len(r.rest) == 0 {
		e, err := r.events.Next()
		if err == nil {
			r.take(e)
			continue
		}
		if err == io.EOF {
			r.end(false)
			return 0, io.EOF
		}
		if !r.resume(err) {
			return 0, err
		}
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// resume goes on at another target behind the last event that was passed on.
func (r *relay) resume(cause error) bool {
	s, q := r.server, r.sending
	s.Counts.Cut.Add(1)
	e := r.broken(cause)
	r.end(e.Code == rhubarbgate.CodeUpstream)
	if !r.x.Route.Resumable || r.last == "" || e.Code != rhubarbgate.CodeUpstream {
		s.Logger.WithFields(r.x.fields(s.Clock.Now())).Info("stream cut: " + e.Message)
		return false
	}
	q.request.Headers = withHeader(q.request.Headers, lastEventHeader, r.last)
	for range maxSends {
		if !s.mayRepeat(q, e) {
			break
		}
		a, err := q.send(len(q.tried) + 1)
		if err == nil && a.answer.Status != r.x.HTTP.Response.StatusCode() {
			a.end(true)
			err = rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "target %s resumed with status %d", a.target.Instance.ID, a.answer.Status)
		}
		if err == nil {
			s.Counts.Resumed.Add(1)
			r.attempt, r.events = a, events.NewReader(a.answer)
			return true
		}
		e = err
	}
	s.Logger.WithFields(r.x.fields(s.Clock.Now())).Info("stream cut: " + e.Message)
	return false
}

// withHeader returns the headers with one replaced.
func withHeader(list []rhubarbgate.Header, name, value string) []rhubarbgate.Header {
	r := make([]rhubarbgate.Header, 0, len(list)+1)
	for _, h := range list {
		if h.Name != name {
			r = append(r, h)
		}
	}
	return append(r, rhubarbgate.Header{Name: name, Value: value})
}

// errClosed reports a relay that was closed before its end.
const errClosed = errors.ConstError("the answer was closed")

// Close implements io.Closer. The server calls it when the answer was sent or
// the caller went away.
func (r *relay) Close() error {
	if r.closed {
		return errClosed
	}
	r.closed = true
	r.end(false)
	r.server.end(r.x)
	return nil
}
