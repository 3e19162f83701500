package caller

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// maxResponseBytes is the largest response body that is not streamed.
	maxResponseBytes = 16 << 20
	// maxQueuedFrames is the number of frames queued for a caller that reads slowly.
	maxQueuedFrames = 16
	// stallTimeout is how long the queue may stay full because the caller reads
	// nothing. After it the request is cancelled, so that it frees its slot.
	stallTimeout = 15 * time.Second
	// maxGaps bounds the gaps between tokens that are kept of one response, which may have no end.
	maxGaps = 1 << 14
)

// eventDataField begins the data line of a server-sent event. Each event counts as one
// token.
var eventDataField = []byte("data:")

// relay copies the response of one attempt from a side to the caller. It implements
// io.ReadCloser for a streamed body.
type relay struct {
	server    *Server
	exchange  *Exchange
	target    string
	attempt   int
	stream    *wire.Receiver[side.Frame]
	cancel    context.CancelFunc
	startedAt time.Time

	firstDataLatency time.Duration      // from startedAt to the first data of the body
	lastDataAt       time.Time          // arrival of the most recent data
	gaps             []time.Duration    // between the tokens of a stream
	latencyReported  bool               // a latency sample was added before the end
	queue            chan []byte        // data for Read
	unread           []byte             // rest of the data that Read took from queue
	failure          *rhubarbgate.Error // set before queue is closed
	finished         bool
}

// next returns the next frame of this attempt. It drops and counts frames of other
// requests and attempts, so that no caller receives the response of another one.
func (r *relay) next(ctx context.Context) (*side.Frame, *rhubarbgate.Error) {
	for {
		f, err := r.stream.Next()
		if err != nil {
			return nil, streamError(ctx, err)
		}
		if f.RequestID != r.exchange.RequestID || f.Attempt != r.attempt {
			r.server.Counts.MismatchedFrames.Add(1)
			continue
		}
		if f.Kind == side.End {
			r.server.Targets.RecordReport(r.target, f.Report)
		}
		if f.Kind == side.End && f.Err != nil {
			return nil, f.Err
		}
		r.recordArrival(f)
		return f, nil
	}
}

// recordArrival records the time to the first data and the gaps between tokens. Data
// with several events counts as that many gaps of equal length. Once there are
// minReportedGaps, it adds a latency sample of the target before the stream ends.
func (r *relay) recordArrival(f *side.Frame) {
	if f.Kind != side.Data {
		return
	}
	now := r.server.Clock.Now()
	if r.lastDataAt.IsZero() {
		r.firstDataLatency = now.Sub(r.startedAt)
	} else if r.exchange.Stream {
		n := max(1, bytes.Count(f.Data, eventDataField))
		for range min(n, maxGaps-len(r.gaps)) {
			r.gaps = append(r.gaps, now.Sub(r.lastDataAt)/time.Duration(n))
		}
	}
	r.lastDataAt = now
	if !r.latencyReported && len(r.gaps) >= minReportedGaps {
		r.latencyReported = true
		r.server.Targets.RecordLatency(r.target, r.latency())
	}
}

// run reads the head of the response and relays the body. It returns an error if nothing
// was sent to the caller.
func (r *relay) run(ctx context.Context) *rhubarbgate.Error {
	head, err := r.next(ctx)
	if err == nil && head.Kind != side.Head {
		err = rhubarbgate.Errorf(rhubarbgate.CodeInternal, rhubarbgate.MayHaveRun, "an answer began with a frame of kind %v", head.Kind)
	}
	if err == nil && head.Status >= fasthttp.StatusInternalServerError && r.exchange.Idempotent {
		err = rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the target answered with status %d", head.Status)
	}
	if err != nil {
		return r.fail(err)
	}
	if r.exchange.Stream && head.Status == fasthttp.StatusOK {
		return r.startStream(ctx, head)
	}
	return r.relayBody(ctx, head)
}

// fail finishes the attempt with an error and returns it.
func (r *relay) fail(err *rhubarbgate.Error) *rhubarbgate.Error {
	r.finish(err)
	return err
}

// finish closes the attempt and records its outcome. Later calls do nothing. It adds no
// latency sample if recordArrival has added one.
func (r *relay) finish(err *rhubarbgate.Error) {
	if r.finished {
		return
	}
	r.finished = true
	r.stream.Close()
	r.cancel()
	s := r.server
	latency := r.latency()
	if r.latencyReported {
		latency = 0
	}
	s.Targets.Finish(r.target, latency, err != nil && isTargetFailure(err))
	if s.Observe != nil && r.exchange.Model != "" {
		s.Observe(Observation{
			Workspace: r.exchange.Workspace, FirstToken: r.firstDataLatency + r.startedAt.Sub(r.exchange.Arrived), Gaps: r.gaps,
			Failed: err != nil && err.Code != rhubarbgate.CodeCancelled,
		})
	}
}

const (
	// gapWeight is the number of mean gaps that a latency sample adds to the time to
	// the first data.
	gapWeight = 16
	// minReportedGaps is the number of gaps that are enough for a latency sample.
	minReportedGaps = 3
)

// latency returns a latency sample of the target that does not depend on the length of
// the response: the time to the first data plus gapWeight mean gaps.
func (r *relay) latency() time.Duration {
	if len(r.gaps) == 0 {
		return r.firstDataLatency
	}
	var sum time.Duration
	for _, g := range r.gaps {
		sum += g
	}
	return r.firstDataLatency + gapWeight*sum/time.Duration(len(r.gaps))
}

// isTargetFailure reports whether an error counts against the target's health.
func isTargetFailure(e *rhubarbgate.Error) bool {
	return e.Code == rhubarbgate.CodeUpstream || e.Code == rhubarbgate.CodeUnavailable || e.Code == rhubarbgate.CodeDeadline
}

// relayBody reads the entire body before it sets the response, so that a failure is
// reported with its own status.
func (r *relay) relayBody(ctx context.Context, head *side.Frame) *rhubarbgate.Error {
	var body []byte
	for {
		f, err := r.next(ctx)
		if err != nil {
			r.server.Counts.TruncatedResponses.Add(1)
			return r.fail(err)
		}
		if f.Kind == side.End {
			break
		}
		body = append(body, f.Data...)
		if len(body) > maxResponseBytes {
			return r.fail(rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the answer is larger than %d bytes", maxResponseBytes))
		}
	}
	r.finish(nil)
	r.writeHead(head)
	r.exchange.Fiber.Response().SetBodyRaw(body)
	return nil
}

// writeHead sets the status and headers of the response.
func (r *relay) writeHead(f *side.Frame) {
	c := r.exchange.Fiber
	c.Status(f.Status)
	for _, h := range f.Headers {
		c.Response().Header.Set(h.Name, h.Value)
	}
}

// startStream waits for the first data and then streams the body. A failure before the
// first data can still be retried or reported with its own status.
func (r *relay) startStream(ctx context.Context, head *side.Frame) *rhubarbgate.Error {
	f, err := r.next(ctx)
	if err != nil {
		return r.fail(err)
	}
	r.writeHead(head)
	r.queue = make(chan []byte, maxQueuedFrames)
	r.unread = f.Data
	r.exchange.Fiber.Response().SetBodyStream(r, -1)
	go r.queueFrames(ctx, f.Kind == side.End)
	return nil
}

// queueFrames receives frames until the response ends and queues their data for Read.
// ended means that the last frame was received before.
func (r *relay) queueFrames(ctx context.Context, ended bool) {
	defer close(r.queue)
	defer func() { r.finish(r.failure) }()
	for !ended {
		f, err := r.next(ctx)
		if err != nil {
			r.failure = err
			if err.Code != rhubarbgate.CodeCancelled {
				r.server.Counts.TruncatedResponses.Add(1)
			}
			return
		}
		ended = f.Kind == side.End
		if !ended && !r.enqueue(ctx, f.Data) {
			return
		}
	}
}

// enqueue queues data for Read. It reports false and sets failure if the queue stays full
// for stallTimeout or the request ends.
func (r *relay) enqueue(ctx context.Context, data []byte) bool {
	select {
	case r.queue <- data:
		return true
	default:
	}
	t := r.server.Clock.NewTimer(stallTimeout)
	defer t.Stop()
	select {
	case r.queue <- data:
		return true
	case <-t.Chan():
		r.server.Counts.StalledCallers.Add(1)
		r.failure = rhubarbgate.Errorf(rhubarbgate.CodeCancelled, rhubarbgate.MayHaveRun, "the caller stopped reading")
	case <-ctx.Done():
		r.failure = streamError(ctx, ctx.Err())
	}
	return false
}

// Read implements io.Reader for the HTTP server. After a failure it returns an error,
// and the server closes the connection without the end of the body, so that a truncated
// response never looks complete.
func (r *relay) Read(b []byte) (int, error) {
	if len(r.unread) == 0 {
		data, ok := <-r.queue
		if !ok {
			if r.failure != nil {
				return 0, r.failure
			}
			return 0, io.EOF
		}
		r.unread = data
	}
	n := copy(b, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// Close implements io.Closer. The server calls it when the response was sent or the
// caller closed the connection.
func (r *relay) Close() error {
	r.cancel()
	r.server.inFlight.Add(-1)
	return nil
}
