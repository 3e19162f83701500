package ingress

import (
	"io"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
)

// lastEventHeader is the header of server-sent events that holds the ID of the last event
// received; the stream continues after it.
const lastEventHeader = "Last-Event-Id"

// startStream makes the response's events the body of the caller's response; each is
// passed on when it is complete. It waits for the first event: after a failure before it
// the request can still be retried, or the caller gets an error status.
func (a *attempt) startStream() *rhubarbgate.Error {
	r := &streamBody{attempt: a, position: new(events.Position)}
	switch {
	case a.early != nil:
		r.position = a.early.position
	case a.x.Route.Resumable:
		*r.position = events.After(string(a.x.HTTP.Request.Header.Peek(lastEventHeader)))
	}
	if e := r.begin(a); e != nil {
		return e
	}
	a.observeFirstEvent()
	if id := a.x.HTTP.Request.Header.Peek(lastEventHeader); len(id) > 0 {
		a.logContinuation("stream taken up", string(id))
	} else {
		a.recordOrigin()
	}
	a.beginStream(a.target)
	a.copyHead()
	a.x.HTTP.Response.SetBodyStream(r, -1)
	return nil
}

// logContinuation logs that the attempt continues a stream; id is the last event so far.
func (a *attempt) logContinuation(text, id string) {
	f := a.x.fields(a.server.Clock.Now())
	version, _ := a.target.Version()
	f["resumes"], f["lastEvent"], f["target"], f["targetVersion"] = a.x.Call.Resumes, id, a.target.Instance.ID, version
	f["versionFrom"] = a.originSource.String()
	a.server.Logger.WithFields(f).Info(text)
}

// streamBody is the body of a streamed response to the caller.
type streamBody struct {
	*attempt
	events   *events.Reader
	position *events.Position // after the last event passed on
	unread   []byte           // the part of the current event that Read has not returned
	closed   bool
}

// begin goes on with the response of an attempt. If it is no stream, or does not begin with the
// next event, it finishes the attempt and returns an error, and nothing has been passed on.
func (r *streamBody) begin(a *attempt) *rhubarbgate.Error {
	f := a.early
	if f == nil {
		f = &reading{position: r.position}
		f.readFirstEvent(a.response)
	}
	if err := f.err; err != nil {
		return a.breakOff(err)
	}
	r.attempt, r.events = a, f.events
	r.setEvent(f.first)
	return nil
}

// breakOff ends an attempt whose response is unusable from here on because of err.
func (a *attempt) breakOff(err error) *rhubarbgate.Error {
	a.server.Counts.TruncatedResponses.Add(1)
	e := a.truncationError(err)
	a.recordBreak(e)
	a.response.Abandon()
	a.finish(e.Code == rhubarbgate.CodeUpstream)
	return e
}

// setEvent makes e the next event to read.
func (r *streamBody) setEvent(e events.Event) {
	r.unread = e.Raw
	if r.progress.Event(r.server.Clock.Now()) {
		r.recordAnswer()
	}
}

// Read implements io.Reader for the HTTP server. After a failure it resumes the stream at
// another target if the route allows. Otherwise, or if that fails, it returns an error, and
// the HTTP server closes the connection without ending the body: a truncated response
// never looks complete.
func (r *streamBody) Read(b []byte) (n int, err error) {
	defer r.recoverRead(&err)
	for len(r.unread) == 0 {
		e, err := r.events.Next()
		if err == nil {
			r.setEvent(e)
			continue
		}
		if err == io.EOF && r.endedWithTarget(r.response) {
			err = errEndedWithTarget
		}
		if err == io.EOF {
			r.recordAnswer()
			r.observeHold()
			r.finish(false)
			return 0, io.EOF
		}
		if !r.resume(err) {
			return 0, err
		}
	}
	n = copy(b, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// recoverRead turns a panic while a body is read into an error, which breaks the caller's
// connection.
func (a *attempt) recoverRead(err *error) {
	if p := recover(); p != nil {
		a.server.logPanic(a.x, p)
		*err = errors.Errorf("internal error: %v", p)
	}
}

// resume continues the stream at another target after the last event that was passed on,
// and reports whether it could.
func (r *streamBody) resume(cause error) bool {
	s, q := r.server, r.forwardedRequest
	e := r.breakOff(cause)
	id, ok := r.position.Resumable()
	if r.x.Route.Resumable && ok && e.Code == rhubarbgate.CodeUpstream {
		if id != "" { // otherwise the caller has only comments
			q.request.Headers = withHeader(q.request.Headers, lastEventHeader, id)
			q.resumed = true
		}
		for range maxAttempts {
			if !s.shouldRetry(q, e) {
				break
			}
			if e = r.resumeOnce(); e == nil {
				s.Counts.Resumed.Add(1)
				r.logContinuation("stream resumed", id)
				return true
			}
		}
	}
	s.Logger.WithFields(r.x.fields(s.Clock.Now())).Info("stream truncated: " + e.Message)
	return false
}

// resumeOnce continues the stream at one other target.
func (r *streamBody) resumeOnce() *rhubarbgate.Error {
	q := r.forwardedRequest
	a, err := q.prepare(len(q.tried) + 1)
	if err == nil {
		err = a.send()
	}
	if err != nil {
		return err
	}
	if a.response.Status != r.x.HTTP.Response.StatusCode() {
		a.finish(true)
		return rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "target %s resumed with status %d", a.target.Instance.ID, a.response.Status)
	}
	return r.begin(a)
}

// withHeader returns a copy of the headers in which the named one is replaced or added.
func withHeader(list []rhubarbgate.Header, name, value string) []rhubarbgate.Header {
	r := make([]rhubarbgate.Header, 0, len(list)+1)
	for _, h := range list {
		if h.Name != name {
			r = append(r, h)
		}
	}
	return append(r, rhubarbgate.Header{Name: name, Value: value})
}

// longBody is the body of a response that is passed on to the caller as it arrives. After an
// error the HTTP server closes the connection without ending the body.
type longBody struct {
	*attempt
	buffered  []byte // read from the target, and not returned by Read yet
	remaining int    // of maxResponseBytes
	closed    bool
}

// Read implements io.Reader for the HTTP server.
func (l *longBody) Read(b []byte) (n int, err error) {
	defer l.recoverRead(&err)
	if len(l.buffered) > 0 {
		n := copy(b, l.buffered)
		l.buffered = l.buffered[n:]
		return n, nil
	}
	n, err = l.response.Read(b)
	l.remaining -= n
	if err == io.EOF && l.endedWithTarget(l.response) {
		err = errEndedWithTarget
	}
	switch {
	case l.remaining < 0:
		err = errors.Errorf("the response has more than %d bytes", maxResponseBytes)
	case err == io.EOF:
		l.recordAnswer()
		l.observeHold()
		l.finish(false)
		return n, io.EOF
	}
	if err != nil {
		l.server.Counts.TruncatedResponses.Add(1)
		e := l.truncationError(err)
		l.recordBreak(e)
		l.finish(e.Code == rhubarbgate.CodeUpstream)
		l.server.Logger.WithFields(l.x.fields(l.server.Clock.Now())).Info("response truncated: " + e.Message)
	}
	return n, err
}

// Close implements io.Closer. The HTTP server calls it when the response was sent or the
// caller disconnected.
func (l *longBody) Close() error {
	if l.closed {
		return errAlreadyClosed
	}
	l.closed = true
	l.finish(false)
	l.server.finish(l.x)
	return nil
}

// errAlreadyClosed reports a second Close of a stream's body.
const errAlreadyClosed = errors.ConstError("the stream's body is already closed")

// Close implements io.Closer. The HTTP server calls it when the response was sent or the
// caller disconnected.
func (r *streamBody) Close() error {
	if r.closed {
		return errAlreadyClosed
	}
	r.closed = true
	r.finish(false)
	r.server.finish(r.x)
	return nil
}
