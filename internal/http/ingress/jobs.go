package ingress

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// jobTimeout bounds a call that reads or cancels a batch job.
	jobTimeout = 2500 * time.Millisecond
	// maxPageBytes bounds a page of results.
	maxPageBytes = 900 << 10
	// storeRetryAfter is the Retry-After while no store host is known: about the time
	// that an election takes.
	storeRetryAfter = time.Second
)

// jobGroup returns the replication group of store hosts that keeps a job.
func (s *Server) jobGroup(job string) (uint32, error) {
	n := s.Source.Peers().StoreGroups
	if n == 0 {
		return 0, notRun(rhubarbgate.CodeUnavailable, "no store host is known yet").WithRetryAfter(storeRetryAfter)
	}
	return uint32(xxhash.Sum64String(job)%uint64(n)) + 1, nil
}

// submit stores a batch job at the store hosts.
func (s *Server) submit(x *Exchange) error {
	items, err := s.Dialect.DecodeJob(x.HTTP.Request.Body())
	if err != nil {
		return err
	}
	if x.Call.RequestID == "" {
		return notRun(rhubarbgate.CodeInvalid, "the batch job has no ID")
	}
	job := &jobs.Submit{
		ID: x.Call.RequestID, Workspace: x.Workspace, Window: x.Route.Window, Retention: x.Route.Retention, Attempts: x.Route.Attempts,
	}
	for i := range items {
		line, err := wire.Marshal(&items[i])
		if err != nil {
			return err
		}
		job.Items = append(job.Items, jobs.ItemInput{ID: items[i].ID, Needs: x.Route.Name, Idempotent: true, Line: line})
	}
	group, err := s.jobGroup(job.ID)
	if err != nil {
		return err
	}
	ctx, cancel := s.storeContext(x)
	defer cancel()
	if _, err := s.Stores.Jobs(ctx, group, jobs.Command{Submit: job}); err != nil {
		return unknownOutcome(err)
	}
	f := x.fields(s.Clock.Now())
	f["group"], f["items"] = group, len(items)
	s.Logger.WithFields(f).Info("batch job accepted")
	x.HTTP.SetStatusCode(fasthttp.StatusAccepted)
	return nil
}

// storeContext returns a context for calls to the store hosts. It ends responseMargin
// before the deadline, so that the caller still receives an error response in time, but
// lasts at least responseMargin.
func (s *Server) storeContext(x *Exchange) (context.Context, context.CancelFunc) {
	const responseMargin = 100 * time.Millisecond
	return context.WithTimeout(x.Context, max(x.Deadline.Sub(s.Clock.Now())-responseMargin, responseMargin))
}

// unknownOutcome returns the error for a command that may have been committed. Such an
// error must not have CodeUnavailable, which callers read as a promise that nothing ran.
func unknownOutcome(err error) error {
	e := *rhubarbgate.AsError(err)
	if e.Verdict != rhubarbgate.NotRun && e.Code == rhubarbgate.CodeUnavailable {
		e.Code = rhubarbgate.CodeDeadline
	}
	return &e
}

// serveJobCall serves a call that reads or cancels a batch job.
func (s *Server) serveJobCall(x *Exchange) error {
	group, err := s.jobGroup(x.Call.Job)
	if err != nil {
		return err
	}
	ctx, cancel := s.storeContext(x)
	defer cancel()
	switch x.Call.Kind {
	case rhubarbgate.ReadResults:
		return s.serveResults(ctx, x, group)
	case rhubarbgate.ReadItem:
		return s.serveItem(ctx, x, group)
	default:
		_, err := s.Stores.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: x.Call.Job, Workspace: x.Workspace}})
		if err != nil {
			return unknownOutcome(err)
		}
		return nil
	}
}

// serveResults responds with a page of the job's results.
func (s *Server) serveResults(ctx context.Context, x *Exchange, group uint32) error {
	r, err := s.Stores.Query(ctx, &control.Query{
		Group: group, Workspace: x.Workspace, Results: &control.PageQuery{ID: x.Call.Job, Index: x.Call.After, MaxBytes: maxPageBytes},
	})
	if err != nil {
		return err
	}
	b, err := s.Dialect.EncodeResults(r.Results)
	if err != nil {
		return err
	}
	x.HTTP.SetContentType("application/json")
	x.HTTP.Response.SetBodyRaw(b)
	return nil
}

// serveItem responds with the body of one item as it was submitted.
func (s *Server) serveItem(ctx context.Context, x *Exchange, group uint32) error {
	r, err := s.Stores.Query(ctx, &control.Query{Group: group, Workspace: x.Workspace, Item: &control.ItemQuery{Job: x.Call.Job, Item: x.Call.Item}})
	if err != nil {
		return err
	}
	var item rhubarbgate.JobItem
	if err := wire.Unmarshal(r.Line, &item); err != nil {
		return err
	}
	x.HTTP.SetContentType("application/octet-stream")
	x.HTTP.Response.SetBodyRaw(item.Body)
	return nil
}
