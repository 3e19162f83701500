// Package burnrate counts good and bad requests of an entry against the objectives and sends the counts to the control hosts.
package burnrate

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/http/caller"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

const (
	// pushInterval is how often changed counts are sent.
	pushInterval = 10 * time.Second
	// pushTimeout bounds one message.
	pushTimeout = 5 * time.Second
	// keepCells is how long cells stay to be sent again after a failure.
	keepCells = 10 * time.Minute
	// cellsPerPush bounds the cells of one message.
	cellsPerPush = 4096
)

// Names of the parts of an objective.
const (
	PartFirstToken    = "FirstToken"
	PartBetweenTokens = "BetweenTokens"
	PartAnswered      = "Answered"
)

type cellKey struct {
	series burn.Series
	start  int64 // Unix seconds
}

type cell struct {
	total, bad uint64
	sent       uint64 // total at the last push
}

// Recorder counts the requests of one entry incarnation. Counts are cumulative
// within a minute, so that a message may be repeated or lost.
type Recorder struct {
	Source configuration.Source
	Client *control.Client
	Clock  clockwork.Clock
	// Name is the entry's incarnation.
	Name   string
	Pushes *expvar.Int

	mu    sync.Mutex
	cells map[cellKey]*cell
}

// Observe counts one request.
func (r *Recorder) Observe(o caller.Observation) {
	c := r.Source.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range c.Objectives {
		if x.Workspace != "" && x.Workspace != o.Workspace {
			continue
		}
		r.observe(x, o)
	}
}

func (r *Recorder) observe(x rhubarbgate.Objective, o caller.Observation) {
	answered := r.cell(o.Workspace, x.Name, PartAnswered)
	answered.add(o.Failed)
	if o.Failed {
		return
	}
	if x.FirstToken > 0 {
		r.cell(o.Workspace, x.Name, PartFirstToken).add(o.FirstToken > x.FirstToken)
	}
	if x.BetweenTokens > 0 && len(o.Gaps) > 0 {
		gaps := r.cell(o.Workspace, x.Name, PartBetweenTokens)
		for _, g := range o.Gaps {
			gaps.add(g > x.BetweenTokens)
		}
	}
}

func (c *cell) add(bad bool) {
	c.total++
	if bad {
		c.bad++
	}
}

func (r *Recorder) cell(workspace, objective, part string) *cell {
	k := cellKey{burn.Series{Workspace: workspace, Objective: objective + "/" + part}, r.Clock.Now().Truncate(burn.BucketWidth).Unix()}
	if r.cells == nil {
		r.cells = map[cellKey]*cell{}
	}
	x := r.cells[k]
	if x == nil {
		x = &cell{}
		r.cells[k] = x
	}
	return x
}

// Run sends counts until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	t := r.Clock.NewTicker(pushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			r.Push(ctx)
		}
	}
}

// Push sends the counts that changed.
func (r *Recorder) Push(ctx context.Context) {
	n := r.Source.Groups()
	if n == 0 {
		return
	}
	for group, cells := range r.changed(n) {
		for len(cells) > 0 {
			k := min(len(cells), cellsPerPush)
			r.send(ctx, group, cells[:k])
			cells = cells[k:]
		}
	}
}

func (r *Recorder) send(ctx context.Context, group uint32, cells []burn.Cell) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	r.Pushes.Add(1)
	c := shard.Command{Burn: &burn.Command{Incarnation: r.Name, Cells: cells}}
	if _, err := r.Client.Propose(ctx, &control.Propose{Group: group, Command: c}); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range cells {
		if y := r.cells[cellKey{x.Series, x.Start.Unix()}]; y != nil {
			y.sent = max(y.sent, x.Total)
		}
	}
}

// changed returns the cells with news by group, and drops old ones.
func (r *Recorder) changed(groups int) map[uint32][]burn.Cell {
	oldest := r.Clock.Now().Add(-keepCells).Unix()
	m := map[uint32][]burn.Cell{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		if c.total > c.sent {
			g := control.GroupOf(k.series.Workspace, groups)
			m[g] = append(m[g], burn.Cell{Series: k.series, Start: time.Unix(k.start, 0).UTC(), Total: c.total, Bad: c.bad})
		} else if k.start < oldest {
			delete(r.cells, k)
		}
	}
	return m
}
