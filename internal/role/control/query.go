package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// query reads from a job group after a linearizable read barrier.
func (h *Host) query(ctx context.Context, in *control.Query) (*control.QueryReply, error) {
	l, err := h.shard(in.Group)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	l.group.Read(func(err error) { done <- err })
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrStopped) {
		return &control.QueryReply{Routing: h.routing(in.Group)}, nil
	}
	if err != nil {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUnavailable, rhubarbgate.NotRun, "read of group %d: %v", in.Group, err)
	}
	return l.answer(in)
}

func (l *leadership) answer(in *control.Query) (*control.QueryReply, error) {
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
	case in.Burn:
		r.Burn = l.machine.Burn.Counts()
	default:
		err = rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "empty query")
	}
	return r, err
}

// Current implements configuration.Source.
func (h *Host) Current() *config.Config { return h.fleet.Current() }

// Fresh implements configuration.Source.
func (h *Host) Fresh() time.Time { return h.groups[control.FleetGroup].Status().FreshAt }

// Since implements configuration.Source.
func (h *Host) Since(version uint64) ([]rhubarbgate.Bundle, bool) { return h.fleet.Since(version) }

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
