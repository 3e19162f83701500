package replica

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/policy/placement"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
)

const (
	// registerInterval is how often a host tells the fleet group's leader that it
	// is alive.
	registerInterval = 400 * time.Millisecond
	// registerTimeout bounds one message, so that a lost leader is looked for anew.
	registerTimeout = time.Second
	// lostAfter is the silence after which a host is replaced if another can take
	// its place: six messages.
	lostAfter = 2500 * time.Millisecond
	// planInterval is how often a leader looks at the membership of its group.
	planInterval = 200 * time.Millisecond
	// mostControls bounds the voters of the groups of the control hosts.
	mostControls = 7
	// firstStoresAfter is how long no further store host may have come when the
	// first membership of the job groups is set.
	firstStoresAfter = 1200 * time.Millisecond
	// rosterAge is the age beyond which a list of hosts says nothing about silence.
	rosterAge = 1500 * time.Millisecond
	// commitTimeout bounds the commit of a change of the roster.
	commitTimeout = 2 * time.Second
	// forgetAfter is the silence after which a host without replicas is forgotten.
	forgetAfter = 15 * time.Second
)

// roster is what a host knows of the others.
type roster struct {
	mu sync.Mutex
	// reply is the newest list, received at replyAt.
	reply   *control.RegisterReply
	replyAt time.Time
	planAt  time.Time

	// The rest is kept by the leader of the fleet group.
	term     uint64
	since    time.Time // when the leader's term began here
	heard    map[uint64]time.Time
	newest   time.Time // when the newest store host came
	proposed bool
	leads    map[uint32]reportedMembers
}

type reportedMembers struct {
	control.GroupMembers
	at time.Time
}

// record describes this host.
func (h *Host) record() fleet.HostRecord {
	r := fleet.HostRecord{
		Kind: fleet.ControlHost, Name: h.Name, AvailabilityZone: h.AvailabilityZone,
		Member: raft.Member{ID: h.ID, Incarnation: h.identity.Incarnation, Address: h.Listen},
	}
	if h.Store {
		r.Kind = fleet.StoreHost
	}
	return r
}

// least is how many voters a group needs to bear the losses.
func (h *Host) least() int { return 2*h.Losses + 1 }

// register tells the fleet group's leader that this host is alive, until ctx ends.
func (h *Host) register(ctx context.Context) {
	t := h.Clock.NewTicker(registerInterval)
	defer t.Stop()
	for {
		h.registerOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

func (h *Host) registerOnce(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	sent := h.Clock.Now()
	r, err := h.client.Register(call, &control.Register{Host: h.record(), Leads: h.ledGroups()})
	if err != nil {
		return
	}
	h.roster.mu.Lock()
	h.roster.reply, h.roster.replyAt = r, sent
	h.roster.mu.Unlock()
	controls := addresses(r.Hosts, fleet.ControlHost)
	h.client.Update(controls)
	if h.Met != nil {
		h.Met(controls)
	}
	if h.Store && r.First != nil {
		h.beginStores(r.First)
	}
}

func addresses(hosts []control.HostState, k fleet.HostKind) []netip.AddrPort {
	var r []netip.AddrPort
	for _, x := range hosts {
		if x.Record.Kind == k {
			r = append(r, x.Record.Address())
		}
	}
	return r
}

// ledGroups lists the memberships of the job groups that this store host leads.
func (h *Host) ledGroups() []control.GroupMembers {
	if !h.Store {
		return nil
	}
	var r []control.GroupMembers
	for _, l := range h.shards {
		if s := l.group.Status(); s.Phase == raft.Leader && l.group.Leased() {
			r = append(r, control.GroupMembers{Group: s.Group, Term: s.Term, Members: s.Members})
		}
	}
	return r
}

// beginStores puts the first membership in force in the groups that have none,
// if this host is among their first members.
func (h *Host) beginStores(f *fleet.FirstStores) {
	hosts := make([]placement.Host, len(f.Hosts))
	for i, x := range f.Hosts {
		hosts[i] = placement.Host{Member: x.Member, AvailabilityZone: x.AvailabilityZone}
	}
	for _, l := range h.shards {
		if len(l.group.Status().Members) > 0 {
			continue
		}
		m := h.planner(l.group.ID).First(hosts)
		self, ok := m.Find(h.ID)
		if !ok || self.Incarnation != h.identity.Incarnation {
			continue
		}
		// A membership may have come with entries of the group's leader meanwhile.
		if err := l.group.Bootstrap(m); err != nil && !errors.Is(err, errors.AlreadyExists) {
			h.fail(err)
			return
		}
		h.Logger.WithField("group", l.group.ID).WithField("members", len(m)).Info("job group bootstrapped")
	}
}

func (h *Host) planner(group uint32) *placement.Planner {
	p := &placement.Planner{Group: group, Most: h.least(), Least: h.least(), LostAfter: lostAfter}
	if !h.Store {
		p.Most = mostControls
	}
	return p
}

// planMembers changes the membership of the groups that this host leads, one
// member at a time.
func (h *Host) planMembers() {
	now := h.Clock.Now()
	hosts, ok := h.rosterHosts(now)
	if !ok {
		return
	}
	for g := range h.running() {
		s := g.Status()
		if s.Phase != raft.Leader || !g.Leased() || s.Applied < s.Commit {
			continue
		}
		next, due := h.planner(s.Group).Next(s.Members, hosts)
		if !due {
			continue
		}
		if _, stays := next.Find(h.ID); !stays {
			// The next leader takes this host out.
			g.TransferLeadership()
			continue
		}
		h.Logger.WithFields(log.Fields{"group": s.Group, "term": s.Term, "from": len(s.Members), "to": len(next), "hosts": len(hosts)}).Info("changing the membership")
		g.ChangeMembers(func(m raft.Members) raft.Members {
			if !slices.Equal(m, s.Members) {
				return m
			}
			return next
		}, func(raft.Result) {})
	}
}

// rosterHosts returns the hosts of this host's kind, if the list is young enough.
func (h *Host) rosterHosts(now time.Time) ([]placement.Host, bool) {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	if h.client == nil || now.Before(h.roster.planAt) || h.roster.reply == nil || now.Sub(h.roster.replyAt) > rosterAge {
		return nil, false
	}
	h.roster.planAt = now.Add(planInterval)
	kind := h.record().Kind
	var r []placement.Host
	for _, x := range h.roster.reply.Hosts {
		if x.Record.Kind == kind {
			r = append(r, placement.Host{
				Member: x.Record.Member, AvailabilityZone: x.Record.AvailabilityZone,
				Silent: x.Silent, Retiring: x.Record.Retiring,
			})
		}
	}
	return r, len(r) > 0
}

// registered answers a host's message on the leader of the fleet group.
func (h *Host) registered(ctx context.Context, in *control.Register) (*control.RegisterReply, error) {
	g := h.groups[control.FleetGroup]
	s := g.Status()
	if s.Phase != raft.Leader || !g.Leased() {
		return &control.RegisterReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	now := h.Clock.Now()
	known := slices.ContainsFunc(h.fleet.Hosts(), func(x fleet.HostRecord) bool {
		in.Host.Retiring = x.Retiring
		return x == in.Host
	})
	first := h.hear(now, s.Term, in, known)
	in.Host.Retiring = false
	if !known {
		h.Logger.WithFields(log.Fields{"host": in.Host.Name, "address": in.Host.Address().String(), "kind": in.Host.Kind.String()}).Info("host registered")
		h.commitFleet(ctx, &fleet.Command{Host: &in.Host})
	}
	if first != nil {
		h.commitFleet(ctx, &fleet.Command{First: first})
	}
	if gone, ok := h.forgettable(now); ok {
		h.Logger.WithFields(log.Fields{"host": gone.Name, "address": gone.Address().String()}).Info("host forgotten")
		h.commitFleet(ctx, &fleet.Command{Drop: gone.Member.ID})
	}
	return &control.RegisterReply{Hosts: h.hostStates(now), First: h.fleet.First()}, nil
}

// hear notes that a host is alive, and returns the first stores if it is time
// to set them.
func (h *Host) hear(now time.Time, term uint64, in *control.Register, known bool) *fleet.FirstStores {
	r := &h.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		r.term, r.since, r.newest, r.proposed = term, now, now, false
		r.heard, r.leads = map[uint64]time.Time{}, map[uint32]reportedMembers{}
	}
	r.heard[in.Host.Member.ID] = now
	for _, x := range in.Leads {
		if old, ok := r.leads[x.Group]; !ok || x.Term >= old.Term {
			r.leads[x.Group] = reportedMembers{x, now}
		}
	}
	if !known && in.Host.Kind == fleet.StoreHost {
		r.newest = now
	}
	var stores []fleet.HostRecord
	for _, x := range h.fleet.Hosts() {
		if _, alive := r.heard[x.Member.ID]; x.Kind == fleet.StoreHost && alive {
			stores = append(stores, x)
		}
	}
	if h.fleet.First() != nil || r.proposed || now.Sub(r.newest) < firstStoresAfter || len(stores) < h.least() {
		return nil
	}
	r.proposed = true
	return &fleet.FirstStores{Hosts: stores, Groups: h.StoreGroups}
}

// commitFleet commits a change of the roster. If it is lost, the next message
// of the host submits it again.
func (h *Host) commitFleet(ctx context.Context, c *fleet.Command) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, _, err := h.propose(ctx, control.FleetGroup, c); err != nil {
		h.Logger.WithError(err).Warn("change of the roster")
	}
}

// hostStates lists the hosts with their silence. A host that this leader has not
// heard counts as silent since the term began.
func (h *Host) hostStates(now time.Time) []control.HostState {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	var list []control.HostState
	for _, x := range h.fleet.Hosts() {
		at, ok := h.roster.heard[x.Member.ID]
		if !ok {
			at = h.roster.since
		}
		list = append(list, control.HostState{Record: x, Silent: now.Sub(at)})
	}
	return list
}

// forgettable returns a host that has been silent for long and is no member of
// any group, so that callers no longer try it. A retiring host stays until its
// operator has seen that it is empty.
func (h *Host) forgettable(now time.Time) (fleet.HostRecord, bool) {
	for _, x := range h.hostStates(now) {
		id := x.Record.Member.ID
		if x.Silent < forgetAfter || x.Record.Retiring {
			continue
		}
		if x.Record.Kind == fleet.StoreHost && h.emptied(id) || x.Record.Kind == fleet.ControlHost && !h.isMember(id) {
			return x.Record, true
		}
	}
	return fleet.HostRecord{}, false
}

// isMember reports whether a host is a member of a group of the control hosts.
func (h *Host) isMember(id uint64) bool {
	for g := range h.running() {
		if _, ok := g.Status().Members.Find(id); ok {
			return true
		}
	}
	return false
}

// document answers with the configuration as its operator sent it.
func (h *Host) document(ctx context.Context, _ *control.Document) (*control.DocumentReply, error) {
	moved, err := barrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if moved {
		return &control.DocumentReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r := &control.DocumentReply{}
	r.Version, r.Document = h.fleet.Document()
	return r, nil
}

// retire marks a store host, or reports how far it is.
func (h *Host) retire(ctx context.Context, in *control.Retire) (*control.RetireReply, error) {
	if in.Query {
		return h.retired(ctx, in.Name)
	}
	v, moved, err := h.propose(ctx, control.FleetGroup, &fleet.Command{Retire: &fleet.RetireHost{Name: in.Name, Least: h.least()}})
	if err != nil {
		return nil, err
	}
	if moved {
		return &control.RetireReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r, _ := v.(*fleet.Committed)
	h.Logger.WithField("host", in.Name).WithField("refused", r.Err != nil).Info("retiring a store host")
	return &control.RetireReply{Err: r.Err}, nil
}

func (h *Host) retired(ctx context.Context, name string) (*control.RetireReply, error) {
	moved, err := barrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if moved {
		return &control.RetireReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	hosts := h.fleet.Hosts()
	i := slices.IndexFunc(hosts, func(x fleet.HostRecord) bool { return x.Kind == fleet.StoreHost && x.Name == name })
	if i < 0 {
		return &control.RetireReply{Err: rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no store host %q", name)}, nil
	}
	return &control.RetireReply{Done: hosts[i].Retiring && h.emptied(hosts[i].Member.ID)}, nil
}

// emptied reports whether the leaders of all job groups said lately that the
// host is no member.
func (h *Host) emptied(id uint64) bool {
	first := h.fleet.First()
	if first == nil {
		return true
	}
	now := h.Clock.Now()
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	for g := 1; g <= first.Groups; g++ {
		x, ok := h.roster.leads[uint32(g)]
		if _, member := x.Members.Find(id); !ok || member || now.Sub(x.at) > rosterAge {
			return false
		}
	}
	return true
}

// Peers implements configuration.Source.
func (h *Host) Peers() control.Peers {
	if h.Store {
		return h.watcher.Peers()
	}
	var p control.Peers
	for _, x := range h.fleet.Hosts() {
		if x.Kind == fleet.ControlHost {
			p.Controls = append(p.Controls, x.Address())
		} else {
			p.Stores = append(p.Stores, x.Address())
		}
	}
	if f := h.fleet.First(); f != nil {
		p.StoreGroups = f.Groups
	}
	return p
}

// followConfiguration prepares the watcher of a store host.
func (h *Host) followConfiguration() {
	failures := new(expvar.Int)
	h.Metrics.Set("ConfigPollFailures", failures)
	h.watcher = &configuration.Watcher{
		Wire: h.wire, Parents: h.Seeds, Clock: h.Clock, Random: h.Random, Logger: h.Logger, Failures: failures,
	}
}
