// Package gate orders online and batch work in front of one engine.
package gate

import (
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

// queue holds waiting online work by workspace and serves it by deficit round
// robin, where one request costs one unit and a weight is a quantum.
type queue struct {
	order   []string // workspaces with waiting work, in turn
	waiting map[string]*line
	size    int
}

type line struct {
	works   []rhubarbgate.Work
	weight  float64
	deficit float64
}

func newQueue() *queue { return &queue{waiting: map[string]*line{}} }

func (q *queue) push(w rhubarbgate.Work) {
	l := q.waiting[w.Workspace]
	if l == nil {
		l = &line{}
		q.waiting[w.Workspace] = l
		q.order = append(q.order, w.Workspace)
	}
	l.weight = w.Weight
	if l.weight <= 0 {
		l.weight = 1
	}
	l.works = append(l.works, w)
	q.size++
}

// pop returns the next work in turn.
func (q *queue) pop() (rhubarbgate.Work, bool) {
	for len(q.order) > 0 {
		name := q.order[0]
		l := q.waiting[name]
		if l.deficit < 1 {
			l.deficit += l.weight
			if l.deficit < 1 {
				q.order = append(q.order[1:], name)
				continue
			}
		}
		w := l.works[0]
		l.works = l.works[1:]
		l.deficit--
		q.size--
		if len(l.works) == 0 {
			delete(q.waiting, name)
			q.order = q.order[1:]
		} else if l.deficit < 1 {
			q.order = append(q.order[1:], name)
		}
		return w, true
	}
	return rhubarbgate.Work{}, false
}

// remove takes out one work.
func (q *queue) remove(id uint64) bool {
	return q.removeFunc(func(w rhubarbgate.Work) bool { return w.ID == id }) != nil
}

// expire takes out all works that would start only behind their deadline.
func (q *queue) expire(now time.Time) []uint64 {
	return q.removeFunc(func(w rhubarbgate.Work) bool { return !w.Deadline.IsZero() && !now.Before(w.Deadline) })
}

func (q *queue) removeFunc(f func(rhubarbgate.Work) bool) []uint64 {
	var removed []uint64
	for name, l := range q.waiting {
		kept := l.works[:0]
		for _, w := range l.works {
			if f(w) {
				removed = append(removed, w.ID)
			} else {
				kept = append(kept, w)
			}
		}
		l.works = kept
		if len(kept) == 0 {
			delete(q.waiting, name)
			q.order = slices.DeleteFunc(q.order, func(s string) bool { return s == name })
		}
	}
	q.size -= len(removed)
	slices.Sort(removed)
	return removed
}
