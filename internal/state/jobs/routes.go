package jobs

import (
	"cmp"
	"slices"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// routing is the route of a job created by Submit in the configuration in force, which may call it by
// another name than the one that accepted the job, or lack it. It exists only on the leader.
type routing struct {
	version uint64 // of the configuration; 0 means that it was not looked up
	route   string // empty if there is none
	gone    time.Time
}

// needName returns the name under which the items with a need are leased.
func (j *job) needName(need uint16) string {
	if j.routing.version > 0 {
		return j.routing.route
	}
	return j.inputFile.needs[need]
}

// isNeeded reports whether the items with a need may be leased to a side that asks for the given ones.
func (j *job) isNeeded(need uint16, asked map[string]bool) bool {
	hasRoute := j.routing.version == 0 || j.routing.route != ""
	return hasRoute && asked[j.needName(need)]
}

// Rerouted describes a job whose route was looked up anew and is another one, or none.
type Rerouted struct {
	Job, Accepted string // name of the route that accepted the job
	Route         string // in force; empty if there is none
	Origin        Origin
}

// Reroute looks up the routes of running jobs created by Submit in the configuration with the given version, and
// returns those that changed. find returns the name of the route in force of a job, or an empty string. A
// configuration that is older than the one that accepted a job says nothing of its route.
func (m *Machine) Reroute(now time.Time, version uint64, find func(name string, o Origin) string) []Rerouted {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changed []Rerouted
	for _, j := range m.jobs {
		if j.State != Running || j.Attempts == 0 || j.routing.version == version || version < j.Origin.Version || len(j.inputFile.needs) == 0 {
			continue
		}
		before := j.needName(0)
		r := routing{version: version, route: find(j.inputFile.needs[0], j.origin()), gone: j.routing.gone}
		switch {
		case r.route != "":
			r.gone = time.Time{}
		case r.gone.IsZero():
			r.gone = now
		}
		j.routing = r
		if r.route != before {
			changed = append(changed, Rerouted{Job: j.ID, Accepted: j.inputFile.needs[0], Route: r.route, Origin: j.Origin})
		}
	}
	slices.SortFunc(changed, func(a, b Rerouted) int { return cmp.Compare(a.Job, b.Job) })
	return changed
}

// origin returns where the job was submitted or, if an earlier build accepted it, the path of its first
// item, which begins like that of the job.
func (j *job) origin() Origin {
	o := j.Origin
	if o.Host != "" || len(j.inputFile.inputs) == 0 {
		return o
	}
	var item rhubarbgate.JobItem
	if line, err := j.inputFile.inputs[0].line.Read(); err == nil && wire.Unmarshal(line, &item) == nil {
		o.Path = item.Path
	}
	return o
}

// JobsWithoutRoute returns the IDs of the running jobs that have had no route since before the given time.
func (m *Machine) JobsWithoutRoute(before time.Time) []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []string
	for id, j := range m.jobs {
		if j.State == Running && !j.routing.gone.IsZero() && j.routing.gone.Before(before) {
			r = append(r, id)
		}
	}
	slices.Sort(r)
	return r
}

// PendingNeed is what pending items of a running job need.
type PendingNeed struct {
	Job, Need string
	Items     int
	Created   time.Time
}

// PendingNeeds returns the needs of the pending items of all running jobs, in the order of the jobs' IDs.
func (m *Machine) PendingNeeds() []PendingNeed {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var r []PendingNeed
	for id, j := range m.jobs {
		if j.State != Running {
			continue
		}
		for need, items := range j.pending {
			if items > 0 {
				r = append(r, PendingNeed{Job: id, Need: j.needName(need), Items: items, Created: j.Created})
			}
		}
	}
	slices.SortFunc(r, func(a, b PendingNeed) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Need, b.Need)) })
	return r
}

// AddRouting replaces the need of a granted item by the name of its route in force, and adds the origin of
// its job, so that the side finds the route in its own configuration.
func (m *Machine) AddRouting(g *Grant) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	j := m.jobs[g.Ref.Job]
	if j == nil || j.Attempts == 0 {
		return
	}
	g.Needs, g.Origin = j.needName(j.inputFile.inputs[g.Ref.Index].needs), j.origin()
}
