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
	// jobTimeout bounds a call about a batch job whose caller sets no deadline.
	jobTimeout = 2500 * time.Millisecond
	// maxPageBytes bounds a page of results.
	maxPageBytes = 900 << 10
	// storeRetry is when a caller may come back while a group of store hosts has
	// no leader: about an election.
	storeRetry = time.Second
)

// group returns the job group of a job.
func (s *Server) group(job string) (uint32, error) {
	n := s.Source.Peers().StoreGroups
	if n == 0 {
		return 0, notRun(rhubarbgate.CodeUnavailable, "no store host is known yet").After(storeRetry)
	}
	return uint32(xxhash.Sum64String(job)%uint64(n)) + 1, nil
}

// submit hands a batch job to the store hosts.
func (s *Server) submit(x *Exchange) error {
	items, err := s.Dialect.DecodeJob(x.HTTP.Request.Body())
	if err != nil {
		return err
	}
	if x.Call.RequestID == "" {
		return notRun(rhubarbgate.CodeInvalid, "the batch job has no ID")
	}
	c := &jobs.Submit{
		ID: x.Call.RequestID, Workspace: x.Workspace, Window: x.Route.Window, Retention: x.Route.Retention, Attempts: x.Route.Attempts,
	}
	for i := range items {
		line, err := wire.Marshal(&items[i])
		if err != nil {
			return err
		}
		c.Items = append(c.Items, jobs.ItemInput{ID: items[i].ID, Needs: x.Route.Name, Idempotent: true, Line: line})
	}
	group, err := s.group(c.ID)
	if err != nil {
		return err
	}
	ctx, cancel := s.callContext(x)
	defer cancel()
	if _, err := s.Stores.Jobs(ctx, group, jobs.Command{Submit: c}); err != nil {
		return unsure(err)
	}
	f := x.fields(s.Clock.Now())
	f["group"], f["items"] = group, len(items)
	s.Logger.WithFields(f).Info("batch job accepted")
	x.HTTP.SetStatusCode(fasthttp.StatusAccepted)
	return nil
}

// callContext bounds a call to the store hosts a little before the caller's
// deadline, so that the caller still hears of a failure.
func (s *Server) callContext(x *Exchange) (context.Context, context.CancelFunc) {
	const answerMargin = 100 * time.Millisecond
	return context.WithTimeout(x.Context, max(x.Deadline.Sub(s.Clock.Now())-answerMargin, answerMargin))
}

// unsure keeps a failure from looking like a promise that nothing happened.
func unsure(err error) error {
	e := *rhubarbgate.AsError(err)
	if e.Verdict != rhubarbgate.NotRun && e.Code == rhubarbgate.CodeUnavailable {
		e.Code = rhubarbgate.CodeDeadline
	}
	return &e
}

// job answers a call about a batch job.
func (s *Server) job(x *Exchange) error {
	group, err := s.group(x.Call.Job)
	if err != nil {
		return err
	}
	ctx, cancel := s.callContext(x)
	defer cancel()
	switch x.Call.Kind {
	case rhubarbgate.ReadResults:
		return s.results(ctx, x, group)
	case rhubarbgate.ReadItem:
		return s.item(ctx, x, group)
	default:
		_, err := s.Stores.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: x.Call.Job, Workspace: x.Workspace}})
		if err != nil {
			return unsure(err)
		}
		return nil
	}
}

func (s *Server) results(ctx context.Context, x *Exchange, group uint32) error {
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

func (s *Server) item(ctx context.Context, x *Exchange, group uint32) error {
	r, err := s.Stores.Query(ctx, &control.Query{Group: group, Workspace: x.Workspace, Item: &control.ItemQuery{Job: x.Call.Job, Item: x.Call.Item}})
	if err != nil {
		return err
	}
	var i rhubarbgate.JobItem
	if err := wire.Unmarshal(r.Line, &i); err != nil {
		return err
	}
	x.HTTP.SetContentType("application/octet-stream")
	x.HTTP.Response.SetBodyRaw(i.Body)
	return nil
}
