package ingress

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

const (
	// jobTimeout bounds a call that reads or cancels a batch job.
	jobTimeout = 2500 * time.Millisecond
	// maxPageBytes bounds a page of results.
	maxPageBytes = 900 << 10
	// decodedCopies is how many times the size of a batch job is held beside its body: the text and the
	// bytes of its items, the items encoded, and the message to the store hosts.
	decodedCopies = 4
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
	release, err := s.holdDecoded(x)
	if err != nil {
		return err
	}
	defer release()
	items, err := s.Dialect.DecodeJob(x.HTTP.Request.Body())
	if err != nil {
		return err
	}
	if x.Call.RequestID == "" {
		return notRun(rhubarbgate.CodeInvalid, "the batch job has no ID")
	}
	path, _, _ := strings.Cut(string(x.HTTP.RequestURI()), "?")
	job := &jobs.Submit{
		ID: x.Call.RequestID, Workspace: x.Workspace, Window: x.Route.Window, Retention: x.Route.Retention, Attempts: x.Route.Attempts,
		Origin: jobs.Origin{Host: string(x.HTTP.Host()), Path: path, Version: x.Config.Version},
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
		if rhubarbgate.AsError(err).Code != rhubarbgate.CodeConflict {
			return unknownOutcome(err)
		}
		// The job may be one of no workspace, which was accepted while its route was open.
		if _, findErr := s.findJob(ctx, x, group, job.ID); findErr != nil {
			return unknownOutcome(err)
		}
	}
	s.accepted(x, group, len(items))
	return nil
}

// holdDecoded charges the copies that decoding and storing a batch job makes.
func (s *Server) holdDecoded(x *Exchange) (release func(), err error) {
	release, err = account.Hold(x.HTTP.Conn(), decodedCopies*len(x.HTTP.Request.Body()))
	if err != nil {
		return nil, notRun(rhubarbgate.CodeOverloaded, "%v", err).WithRetryAfter(memoryRetryAfter)
	}
	return release, nil
}

// accepted responds that a batch job was accepted, now or before.
func (s *Server) accepted(x *Exchange, group uint32, items int) {
	f := x.fields(s.Clock.Now())
	f["group"], f["items"] = group, items
	s.Logger.WithFields(f).Info("batch job accepted")
	x.HTTP.SetStatusCode(fasthttp.StatusAccepted)
}

// repeatsSubmission responds to a request without a route that submits a batch job again which was accepted
// while there was one. It reports false for any other request.
func (s *Server) repeatsSubmission(x *Exchange) (bool, error) {
	if !x.HTTP.IsPost() || x.Call.RequestID == "" {
		return false, nil
	}
	if len(x.Config.Workspaces) > 0 && len(x.HTTP.Request.Header.Peek("Authorization")) > 0 {
		if err := s.identify(x); err != nil && err.Code == rhubarbgate.CodeUnauthorized {
			return false, nil
		} else if err != nil {
			return false, err
		}
	}
	release, err := s.holdDecoded(x)
	if err != nil {
		return false, err
	}
	defer release()
	items, err := s.Dialect.DecodeJob(x.HTTP.Request.Body())
	if err != nil {
		return false, nil
	}
	group, err := s.jobGroup(x.Call.RequestID)
	if err != nil {
		return false, err
	}
	x.Deadline = x.Arrived.Add(jobTimeout)
	ctx, cancel := s.storeContext(x)
	defer cancel()
	if _, err := s.findJob(ctx, x, group, x.Call.RequestID); err != nil {
		if rhubarbgate.AsError(err).Code == rhubarbgate.CodeNotFound {
			err = nil
		}
		return false, err
	}
	s.accepted(x, group, len(items))
	return true, nil
}

// findJob returns the description of a job that the caller may see.
func (s *Server) findJob(ctx context.Context, x *Exchange, group uint32, id string) (*jobs.Job, error) {
	r, err := s.Stores.Query(ctx, &control.Query{Group: group, Workspace: x.jobOwner(), Job: &id})
	if err != nil {
		return nil, err
	}
	return r.Job, nil
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

// serveJobCall serves a call that reads or cancels a batch job. A caller without a key that may need one is not
// told that there is no such job.
func (s *Server) serveJobCall(x *Exchange) error {
	err := s.readOrCancelJob(x)
	if err != nil && x.jobOwner() == jobs.NoWorkspace && rhubarbgate.AsError(err).Code == rhubarbgate.CodeNotFound {
		return notRun(rhubarbgate.CodeUnauthorized, "the header Authorization lacks a bearer key")
	}
	return err
}

func (s *Server) readOrCancelJob(x *Exchange) error {
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
		return s.cancelJob(ctx, x, group)
	}
}

// cancelJob cancels a job.
func (s *Server) cancelJob(ctx context.Context, x *Exchange, group uint32) error {
	owner := x.jobOwner()
	_, err := s.Stores.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: x.Call.Job, Workspace: owner}})
	if err != nil && owner != "" && rhubarbgate.AsError(err).Code == rhubarbgate.CodeNotFound {
		// A job of no workspace is not found under that of the caller.
		j, findErr := s.findJob(ctx, x, group, x.Call.Job)
		if findErr != nil {
			return findErr
		}
		_, err = s.Stores.Jobs(ctx, group, jobs.Command{CancelJob: &jobs.CancelJob{Job: x.Call.Job, Workspace: j.Workspace}})
	}
	if err != nil {
		return unknownOutcome(err)
	}
	return nil
}

// serveResults responds with a page of the job's results.
func (s *Server) serveResults(ctx context.Context, x *Exchange, group uint32) error {
	r, err := s.Stores.Query(ctx, &control.Query{
		Group: group, Workspace: x.jobOwner(), Results: &control.PageQuery{ID: x.Call.Job, Index: x.Call.After, MaxBytes: maxPageBytes},
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
	r, err := s.Stores.Query(ctx, &control.Query{Group: group, Workspace: x.jobOwner(), Item: &control.ItemQuery{Job: x.Call.Job, Item: x.Call.Item}})
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
