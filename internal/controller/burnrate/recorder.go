// Package burnrate counts the good and bad requests of an entry for each service-level objective and sends the counts to the job groups.
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
	// pushInterval is the time between two rounds of sending changed counts.
	pushInterval = 10 * time.Second
	// pushTimeout bounds the proposal of one message.
	pushTimeout = 5 * time.Second
	// cellRetention is how long after its start a cell is kept once all its counts
	// are sent; a cell with unsent counts is kept until they are.
	cellRetention = 10 * time.Minute
	// maxCellsPerPush bounds the number of cells in one message.
	maxCellsPerPush = 4096
)

// The parts of an objective, each a series of its own: the time to the first token,
// the times between tokens, and whether the request was answered at all. They are
// the last element of a series name.
const (
	PartFirstToken    = "FirstToken"
	PartBetweenTokens = "BetweenTokens"
	PartAnswered      = "Answered"
)

// cellKey identifies the cell of a series for one interval of burn.BucketWidth.
type cellKey struct {
	series    burn.Series
	startUnix int64 // seconds
}

// cell counts the samples of one series in one interval.
type cell struct {
	total, bad uint64
	sent       uint64 // highest total that was committed
}

// Recorder counts the requests of one entry incarnation. The counts of a cell are
// cumulative within its minute (burn.BucketWidth), so a message may be repeated or lost.
type Recorder struct {
	Source configuration.Source
	Client *control.Client
	Clock  clockwork.Clock
	// Name is the entry's incarnation.
	Name string
	// Pushes counts the messages sent.
	Pushes *expvar.Int

	mu    sync.Mutex
	cells map[cellKey]*cell
}

// Observe counts one request for every objective that covers its workspace.
func (r *Recorder) Observe(o caller.Observation) {
	c := r.Source.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, objective := range c.Objectives {
		if objective.Workspace != "" && objective.Workspace != o.Workspace {
			continue
		}
		r.count(objective, o)
	}
}

// count counts one request for one objective. A failed request counts only as not
// answered, since it has no latency. The lock is held.
func (r *Recorder) count(objective rhubarbgate.Objective, o caller.Observation) {
	answered := r.cell(o.Workspace, objective.Name, PartAnswered)
	answered.add(o.Failed)
	if o.Failed {
		return
	}
	if objective.FirstToken > 0 {
		r.cell(o.Workspace, objective.Name, PartFirstToken).add(o.FirstToken > objective.FirstToken)
	}
	if objective.BetweenTokens > 0 && len(o.Gaps) > 0 {
		gaps := r.cell(o.Workspace, objective.Name, PartBetweenTokens)
		for _, gap := range o.Gaps {
			gaps.add(gap > objective.BetweenTokens)
		}
	}
}

// add counts one sample.
func (c *cell) add(bad bool) {
	c.total++
	if bad {
		c.bad++
	}
}

// cell returns the cell of a series for the current interval, adding it if it is
// new. The lock is held.
func (r *Recorder) cell(workspace, objective, part string) *cell {
	k := cellKey{burn.Series{Workspace: workspace, Objective: objective + "/" + part}, r.Clock.Now().Truncate(burn.BucketWidth).Unix()}
	if r.cells == nil {
		r.cells = map[cellKey]*cell{}
	}
	c := r.cells[k]
	if c == nil {
		c = &cell{}
		r.cells[k] = c
	}
	return c
}

// Run calls Push periodically until ctx ends.
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

// Push sends the counts that changed to the job groups of their workspaces, once
// the number of groups is known.
func (r *Recorder) Push(ctx context.Context) {
	n := r.Source.Groups()
	if n == 0 {
		return
	}
	for group, cells := range r.changed(n) {
		for len(cells) > 0 {
			count := min(len(cells), maxCellsPerPush)
			r.send(ctx, group, cells[:count])
			cells = cells[count:]
		}
	}
}

// send proposes cells to a group and marks them as sent once they are committed.
// Cells of a failed proposal stay changed, so the next push sends them again.
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
	for _, committed := range cells {
		if kept := r.cells[cellKey{committed.Series, committed.Start.Unix()}]; kept != nil {
			kept.sent = max(kept.sent, committed.Total)
		}
	}
}

// changed returns the cells with unsent counts by group, and drops sent cells that
// are older than cellRetention.
func (r *Recorder) changed(groups int) map[uint32][]burn.Cell {
	oldest := r.Clock.Now().Add(-cellRetention).Unix()
	byGroup := map[uint32][]burn.Cell{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, c := range r.cells {
		if c.total > c.sent {
			g := control.GroupOf(k.series.Workspace, groups)
			byGroup[g] = append(byGroup[g], burn.Cell{Series: k.series, Start: time.Unix(k.startUnix, 0).UTC(), Total: c.total, Bad: c.bad})
		} else if k.startUnix < oldest {
			delete(r.cells, k)
		}
	}
	return byGroup
}
