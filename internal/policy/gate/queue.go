// Package gate schedules online and batch work on the slots of one target.
package gate

import (
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// queue holds online work by workspace and serves the workspaces by deficit round
// robin: each request costs 1, and a workspace's weight is its quantum.
type queue struct {
	order       []string // workspaces with queued work, in round-robin order
	byWorkspace map[string]*workspaceQueue
	size        int
}

// workspaceQueue is the queue of one workspace.
type workspaceQueue struct {
	queued  []rhubarbgate.Work
	weight  float64
	deficit float64
}

func newQueue() *queue { return &queue{byWorkspace: map[string]*workspaceQueue{}} }

// push appends work to the queue of its workspace, whose weight it updates.
func (q *queue) push(w rhubarbgate.Work) {
	wq := q.byWorkspace[w.Workspace]
	if wq == nil {
		wq = &workspaceQueue{}
		q.byWorkspace[w.Workspace] = wq
		q.order = append(q.order, w.Workspace)
	}
	wq.weight = w.Weight
	if wq.weight <= 0 {
		wq.weight = 1
	}
	wq.queued = append(wq.queued, w)
	q.size++
}

// pop removes and returns the next work, or reports false if the queue is empty.
func (q *queue) pop() (rhubarbgate.Work, bool) {
	for len(q.order) > 0 {
		name := q.order[0]
		wq := q.byWorkspace[name]
		if wq.deficit < 1 {
			wq.deficit += wq.weight
			if wq.deficit < 1 {
				q.order = append(q.order[1:], name)
				continue
			}
		}
		w := wq.queued[0]
		wq.queued = wq.queued[1:]
		wq.deficit--
		q.size--
		if len(wq.queued) == 0 {
			delete(q.byWorkspace, name)
			q.order = q.order[1:]
		} else if wq.deficit < 1 {
			q.order = append(q.order[1:], name)
		}
		return w, true
	}
	return rhubarbgate.Work{}, false
}

// remove removes the work with this ID and reports whether it was queued.
func (q *queue) remove(id uint64) bool {
	return q.removeFunc(func(w rhubarbgate.Work) bool { return w.ID == id }) != nil
}

// expire removes all work whose deadline has been reached and returns its IDs.
func (q *queue) expire(now time.Time) []uint64 {
	return q.removeFunc(func(w rhubarbgate.Work) bool { return !w.Deadline.IsZero() && !now.Before(w.Deadline) })
}

// removeFunc removes all work for which f returns true and returns its IDs in
// ascending order.
func (q *queue) removeFunc(f func(rhubarbgate.Work) bool) []uint64 {
	var removed []uint64
	for name, wq := range q.byWorkspace {
		kept := wq.queued[:0]
		for _, w := range wq.queued {
			if f(w) {
				removed = append(removed, w.ID)
			} else {
				kept = append(kept, w)
			}
		}
		wq.queued = kept
		if len(kept) == 0 {
			delete(q.byWorkspace, name)
			q.order = slices.DeleteFunc(q.order, func(s string) bool { return s == name })
		}
	}
	q.size -= len(removed)
	slices.Sort(removed)
	return removed
}
