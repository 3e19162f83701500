package side

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// itemTimeout bounds one attempt at an item.
	itemTimeout = 10 * time.Minute
	// maxItemAnswer bounds an item's answer in bytes.
	maxItemAnswer = 1 << 20
	// maxDropped is how often a preempted item is kept at this side before it is
	// returned, so that a busy side does not hold on to it.
	maxDropped = 20
	// failedPause is how long an item rests after an attempt that the target broke.
	failedPause = 100 * time.Millisecond
	// keepWaiting is how long a preempted item waits for room beside the same
	// target: a few probes.
	keepWaiting = 120 * time.Millisecond
)

// work runs one task in its place, and queues it again if it is preempted.
func (w *worker) work(ctx context.Context, t *task, p *gatekeeper.Slot) {
	defer w.signal()
	w.host.counts.batch.Add(1)
	began := w.clock.Now()
	w.logItem(t, "item starts")
	o, again := w.attempt(t, p)
	p.Release()
	w.logItem(t, w.outcomeText(t, o, again), log.Fields{"ran": w.clock.Since(began).String(), "verdict": o.Verdict.String(), "cause": o.Message})
	switch {
	case again:
		w.host.counts.preempted.Add(1)
		w.requeue(ctx, t)
	case t.ctx.Err() != nil:
		// The lease was lost: nobody waits for the outcome.
	case w.host.Probe != nil && !o.OK && !o.Permanent && o.Verdict != rhubarbgate.Ran:
		w.returnLater(ctx, t)
	default:
		w.done(t, o)
	}
}

// outcomeText says how an attempt ended.
func (w *worker) outcomeText(t *task, o jobs.Outcome, again bool) string {
	switch {
	case again:
		return "item preempted"
	case t.ctx.Err() != nil:
		return "item dropped, its lease was lost"
	case o.OK:
		return "item done"
	default:
		return "item failed"
	}
}

// logItem writes a line about a decision on an item.
func (w *worker) logItem(t *task, text string, more ...log.Fields) {
	f := log.Fields{
		"job": t.grant.Ref.Job, "index": t.grant.Ref.Index, "attempt": t.grant.Ref.Attempt,
		"due": t.grant.Due.Sub(w.clock.Now()).Round(time.Millisecond).String(), "lastEvent": t.output.LastID,
	}
	for _, m := range more {
		for k, v := range m {
			f[k] = v
		}
	}
	w.host.Logger.WithFields(f).Info(text)
}

// requeue puts a preempted task at the head of those that wait, with what it
// has produced so far.
func (w *worker) requeue(ctx context.Context, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.place = nil
	t.partial.preemptions++
	if ctx.Err() == nil && t.partial.preemptions < maxDropped {
		t.waits = w.clock.Now()
		w.ready = append([]*task{t}, w.ready...)
		return
	}
	w.giveBack(t)
}

// giveBack returns the lease of an item with what it has produced. The lock is held.
func (w *worker) giveBack(t *task) {
	delete(w.held, t.grant.Ref)
	w.logItem(t, "item returned")
	w.tasks.Go(func() {
		call, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		// A return that is lost only costs the time until the lease ends.
		back := &jobs.Return{Items: []jobs.ItemRef{t.grant.Ref}, Progress: [][]byte{t.output.encode()}}
		_, _ = w.host.control.Jobs(call, t.group, jobs.Command{Return: back})
	})
}

// returnLater returns an item whose attempt failed for no fault of its own, after
// a pause that keeps a broken target from being asked again and again.
func (w *worker) returnLater(ctx context.Context, t *task) {
	select {
	case <-ctx.Done():
	case <-w.clock.After(failedPause):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.held[t.grant.Ref] == t {
		w.giveBack(t)
	}
}

// giveBackWaiting returns items that found no room here for a while, or at once
// if the target is gone, so that other sides can go on with them.
func (w *worker) giveBackWaiting() {
	if w.host.Probe == nil {
		return
	}
	gone := w.host.isLeaving() || w.host.down.Load()
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := w.ready[:0]
	for _, t := range w.ready {
		if gone || now.Sub(t.waits) >= keepWaiting {
			w.giveBack(t)
		} else {
			kept = append(kept, t)
		}
	}
	w.ready = kept
}

// attempt runs the item; again says that it was preempted and may go on later.
func (w *worker) attempt(t *task, p *gatekeeper.Slot) (o jobs.Outcome, again bool) {
	o.Ref = t.grant.Ref
	if w.host.Probe != nil {
		return w.attemptStream(t, p)
	}
	var in jobs.InputLine
	if err := json.Unmarshal(t.grant.Line, &in); err != nil {
		o.Message, o.Permanent = err.Error(), true
		return o, false
	}
	if !t.grant.Idempotent && !w.begin(t) {
		o.Message, o.Verdict = "the start could not be recorded", rhubarbgate.NotRun
		return o, false
	}
	ctx, cancel := deadline.WithTimeout(p.Context, w.clock, itemTimeout)
	defer cancel()
	r, err := w.execute(ctx, t, &in)
	if err == nil {
		o.OK, o.Output = true, resultLine(t, &in, r)
		return o, false
	}
	preempted := context.Cause(p.Context) == error(gatekeeper.ErrPreempted)
	if preempted && (t.grant.Idempotent || err.Verdict == rhubarbgate.NotRun) {
		return o, true
	}
	o.Message, o.Verdict = err.Message, err.Verdict
	o.Permanent = err.Code == rhubarbgate.CodeInvalid
	return o, false
}

// begin commits that a non-idempotent item is about to reach the target.
func (w *worker) begin(t *task) bool {
	ctx, cancel := context.WithTimeout(t.ctx, returnTimeout)
	defer cancel()
	r, err := w.host.control.Jobs(ctx, t.group, jobs.Command{Start: &jobs.Start{Items: []jobs.ItemRef{t.grant.Ref}}})
	return err == nil && len(r.Accepted) == 1 && r.Accepted[0]
}

// itemAnswer is the answer to an item.
type itemAnswer struct {
	status int
	body   []byte
}

func (w *worker) execute(ctx context.Context, t *task, in *jobs.InputLine) (*itemAnswer, *rhubarbgate.Error) {
	if in.URL == openai.ChatPath || in.URL == openai.CompletionPath {
		if s := newResumable(in); s != nil {
			return w.runResumable(ctx, t, s)
		}
	}
	return w.runPlain(ctx, t, in)
}

// runPlain runs an item that cannot be resumed.
func (w *worker) runPlain(ctx context.Context, t *task, in *jobs.InputLine) (*itemAnswer, *rhubarbgate.Error) {
	path := in.URL
	if strings.HasPrefix(path, "/services/") {
		rest := strings.TrimPrefix(path, "/services/")
		_, rest, _ = strings.Cut(rest, "/")
		path = "/" + rest
	}
	method := in.Method
	if method == "" {
		method = http.MethodPost
	}
	q := &target.Request{Method: method, Path: path, Body: in.Body, Idempotent: t.grant.Idempotent, Headers: jsonHeaders()}
	q.Headers = append(q.Headers, target.Header{Name: "Idempotency-Key", Value: fmt.Sprintf("%s-%d", t.grant.Ref.Job, t.grant.Ref.Index)})
	a, err := w.host.engine.Do(ctx, q)
	if err != nil {
		return nil, rhubarbgate.AsError(err)
	}
	defer a.Close()
	b, err := io.ReadAll(io.LimitReader(a, maxItemAnswer+1))
	if err != nil {
		return nil, broken(ctx, err)
	}
	if len(b) > maxItemAnswer {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.Ran, "the answer is larger than %d bytes", maxItemAnswer)
	}
	return checkStatus(a.Status, b)
}

func jsonHeaders() []target.Header {
	return []target.Header{{Name: "Content-Type", Value: "application/json"}}
}

// checkStatus fails the attempt for statuses that a repetition may mend.
func checkStatus(status int, body []byte) (*itemAnswer, *rhubarbgate.Error) {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the target answered with status %d: %.200s", status, body)
	}
	return &itemAnswer{status: status, body: body}, nil
}

// responseField is the response part of a result line.
type responseField struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

func resultLine(t *task, in *jobs.InputLine, a *itemAnswer) []byte {
	id := fmt.Sprintf("%s-%d", t.grant.Ref.Job, t.grant.Ref.Index)
	body := json.RawMessage(a.body)
	if !json.Valid(body) {
		// Plain services may answer with something else; it is kept as a string.
		body, _ = json.Marshal(string(a.body))
	}
	response, err := json.Marshal(&responseField{StatusCode: a.status, RequestID: fmt.Sprintf("%s-%d", id, t.grant.Ref.Attempt), Body: body})
	if err != nil {
		// The body was just checked to be valid JSON.
		panic(err)
	}
	line, err := json.Marshal(&jobs.ResultLine{ID: id, CustomID: in.CustomID, Response: response})
	if err != nil {
		panic(err)
	}
	return line
}
