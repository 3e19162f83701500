package replica

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// query handles control.MethodQuery: a linearizable read from a job group.
func (h *Host) query(ctx context.Context, in *control.Query) (*control.QueryReply, error) {
	l, err := h.jobGroup(in.Group)
	if err != nil {
		return nil, err
	}
	notLeader, err := readBarrier(ctx, l.group)
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.QueryReply{Routing: h.routing(in.Group)}, nil
	}
	return l.read(in)
}

// readBarrier waits until the group's local state reflects all commands that were
// committed before the call. notLeader reports that this host does not lead it.
func readBarrier(ctx context.Context, g *raft.Group) (notLeader bool, err error) {
	done := make(chan error, 1)
	g.ReadBarrier(func(err error) { done <- err })
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrStopped) {
		return true, nil
	}
	if err != nil {
		return false, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "read of group %d: %v", g.ID, err)
	}
	return false, nil
}

// read serves a query from the local state.
func (l *leadership) read(in *control.Query) (*control.QueryReply, error) {
	r := &control.QueryReply{}
	var err error
	m := l.machine.Jobs
	switch {
	case in.Job != nil:
		r.Job, err = m.JobInfo(*in.Job, in.Workspace)
	case in.File != nil:
		r.File, err = m.FileInfo(*in.File, in.Workspace)
	case in.List != nil:
		r.List = m.List(in.Workspace, *in.List)
	case in.Input != nil:
		r.Page, err = m.Input(in.Input.ID, in.Workspace, in.Input.Index, min(in.Input.MaxBytes, maxPageBytes))
	case in.Output != nil:
		r.Page, err = m.Output(in.Output.ID, in.Workspace, in.Output.Index, min(in.Output.MaxBytes, maxPageBytes))
	case in.Results != nil:
		r.Results, err = m.Results(in.Results.ID, in.Workspace, in.Results.Index, min(in.Results.MaxBytes, maxPageBytes))
	case in.Item != nil:
		r.Line, err = m.Item(in.Item.Job, in.Workspace, in.Item.Item)
	case in.Burn:
		r.Burn = l.machine.Burn.Counts()
	default:
		err = rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "empty query")
	}
	return r, err
}

// Current implements configuration.Source.
func (h *Host) Current() *config.Config {
	if h.Store {
		return h.watcher.Current()
	}
	return h.fleet.Current()
}

// ConfirmedAt implements configuration.Source.
func (h *Host) ConfirmedAt() time.Time {
	if h.Store {
		return h.watcher.ConfirmedAt()
	}
	return h.groups[control.FleetGroup].Status().FreshAt
}

// Since implements configuration.Source.
func (h *Host) Since(version uint64) ([]rhubarbgate.Bundle, bool) {
	if h.Store {
		return h.watcher.Since(version)
	}
	return h.fleet.Since(version)
}

// Changed implements configuration.Source.
func (h *Host) Changed() <-chan struct{} { return h.notifier.Wait() }

// Groups implements configuration.Source.
func (h *Host) Groups() int { return h.JobGroups }

// Backlog implements configuration.Source.
func (h *Host) Backlog() []string {
	if p := h.backlog.Load(); p != nil {
		return *p
	}
	return nil
}
