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
	// registerInterval is how often a host registers with the fleet group's leader;
	// registrations are its heartbeats.
	registerInterval = 400 * time.Millisecond
	// registerRetryInterval is the interval while no leader replies.
	registerRetryInterval = 100 * time.Millisecond
	// registerTimeout bounds one registration, so that a host soon looks for a new
	// leader when the old one is lost.
	registerTimeout = time.Second
	// lostAfter is the time without a registration after which a host is replaced if
	// another host is available: six registration intervals.
	lostAfter = 2500 * time.Millisecond
	// planInterval is how often a leader checks the membership of its groups.
	planInterval = 200 * time.Millisecond
	// maxControlVoters bounds the voters of a group on control hosts.
	maxControlVoters = 7
	// storesQuietPeriod is the time without a new store host after which the initial
	// membership of the job groups is chosen.
	storesQuietPeriod = 1200 * time.Millisecond
	// maxRosterAge is the age up to which a list of hosts shows which hosts are
	// alive, and up to which a reported membership is used.
	maxRosterAge = 1500 * time.Millisecond
	// commitTimeout bounds the commit of a change to the roster.
	commitTimeout = 2 * time.Second
	// removeAfter is the time without a registration after which a host without
	// replicas is removed from the roster.
	removeAfter = 15 * time.Second
)

// roster holds the registered hosts as this host last received them.
type roster struct {
	mu sync.Mutex
	// reply is the newest reply, to the registration that was sent at replyAt.
	reply      *control.RegisterReply
	replyAt    time.Time
	nextPlanAt time.Time
	// zoneBound are the groups led by this host that the loss of a zone would end, as last logged.
	zoneBound map[uint32]bool

	// The following fields are used only by the leader of the fleet group.
	term          uint64
	termStart     time.Time            // first registration received in this term
	lastReport    map[uint64]time.Time // last registration by host ID
	newestStoreAt time.Time            // newest first registration of a store host, or termStart
	firstProposed bool                 // the initial store hosts were proposed in this term
	memberships   map[uint32]reportedMembers
}

// reportedMembers is the membership of a job group as its leader reported it.
type reportedMembers struct {
	control.GroupMembers
	at time.Time
}

// hostRecord returns what this host registers about itself.
func (h *Host) hostRecord() fleet.HostRecord {
	r := fleet.HostRecord{
		Kind: fleet.ControlHost, Name: h.Name, AvailabilityZone: h.AvailabilityZone,
		Member: raft.Member{ID: h.ID, Incarnation: h.identity.Incarnation, Address: h.Listen},
	}
	if h.Store {
		r.Kind = fleet.StoreHost
	}
	return r
}

// minVoters is how many voters a group needs to tolerate ToleratedLosses.
func (h *Host) minVoters() int { return 2*h.ToleratedLosses + 1 }

// register registers this host with the fleet group's leader periodically until ctx
// ends.
func (h *Host) register(ctx context.Context) {
	for ctx.Err() == nil {
		interval := registerInterval
		if !h.registerOnce(ctx) {
			interval = registerRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-h.Clock.After(interval):
		}
	}
}

// registerOnce registers this host, applies the reply and reports whether there was one.
// Errors are ignored: the next registration follows soon.
func (h *Host) registerOnce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	sent := h.Clock.Now()
	r, err := h.client.Register(call, &control.Register{
		Host: h.hostRecord(), Leads: h.ledGroups(), Targets: h.targetsDigest(),
		Quarantine: h.Quarantine(sent).Version, Limits: h.TargetLimits().Version,
		Evacuation: h.Evacuation().Version,
	})
	if err != nil {
		return false
	}
	h.roster.mu.Lock()
	h.roster.reply, h.roster.replyAt = r, sent
	h.roster.mu.Unlock()
	// The division of a cold target's rate has to be served before the list that shows the target.
	h.applyTargetLimits(r.Limits)
	h.applyTargets(r.Targets, sent)
	h.applyQuarantine(r.Quarantine, sent)
	h.applyEvacuation(r.Evacuation)
	controls := addresses(r.Hosts, fleet.ControlHost)
	h.client.SetHosts(controls)
	if h.ControlHostsUpdated != nil {
		h.ControlHostsUpdated(controls)
	}
	if h.Store && r.First != nil {
		h.bootstrapJobGroups(r.First)
	}
	return true
}

// addresses returns the addresses of the hosts of kind k.
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
	for _, l := range h.jobGroups {
		if s := l.group.Status(); s.Phase == raft.Leader && l.group.Leased() {
			r = append(r, control.GroupMembers{Group: s.Group, Term: s.Term, Members: s.Members})
		}
	}
	return r
}

// bootstrapJobGroups installs the initial membership in each job group that has
// none, if this incarnation of the host is an initial member of it.
func (h *Host) bootstrapJobGroups(f *fleet.InitialStoreHosts) {
	hosts := make([]placement.Host, len(f.Hosts))
	for i, x := range f.Hosts {
		hosts[i] = placement.Host{Member: x.Member, AvailabilityZone: x.AvailabilityZone}
	}
	for _, l := range h.jobGroups {
		if len(l.group.Status().Members) > 0 {
			continue
		}
		m := h.planner(l.group.ID).InitialMembers(hosts)
		self, ok := m.Find(h.ID)
		if !ok || self.Incarnation != h.identity.Incarnation {
			continue
		}
		// The group's leader may have replicated a membership meanwhile.
		if err := l.group.Bootstrap(m); err != nil && !errors.Is(err, errors.AlreadyExists) {
			h.fail(err)
			return
		}
		h.Logger.WithField("group", l.group.ID).WithField("members", len(m)).Info("job group bootstrapped")
	}
}

// planner returns the membership planner of a group on hosts of this host's kind.
func (h *Host) planner(group uint32) *placement.Planner {
	p := &placement.Planner{Group: group, MaxVoters: h.minVoters(), MinVoters: h.minVoters(), LostAfter: lostAfter}
	if !h.Store {
		p.MaxVoters = maxControlVoters
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
	for g := range h.raftGroups() {
		s := g.Status()
		if s.Phase != raft.Leader || !g.Leased() || s.Applied < s.Commit {
			continue
		}
		p := h.planner(s.Group)
		h.recordZoneBound(s.Group, !p.SurvivesZone(s.Members, hosts))
		next, due := p.Next(s.Members, hosts)
		if !due {
			continue
		}
		if _, stays := next.Find(h.ID); !stays {
			// The next leader removes this host.
			g.TransferLeadership()
			continue
		}
		h.Logger.WithFields(log.Fields{"group": s.Group, "term": s.Term, "from": len(s.Members), "to": len(next), "hosts": len(hosts)}).Info("changing the group membership")
		g.ChangeMembers(func(m raft.Members) raft.Members {
			if !slices.Equal(m, s.Members) {
				return m
			}
			return next
		}, func(raft.Result) {})
	}
}

// recordZoneBound logs when a group that this host leads begins or ceases to depend on one availability zone.
func (h *Host) recordZoneBound(group uint32, bound bool) {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	if h.roster.zoneBound == nil {
		h.roster.zoneBound = map[uint32]bool{}
	}
	if h.roster.zoneBound[group] == bound {
		return
	}
	h.roster.zoneBound[group] = bound
	f := h.Logger.WithField("group", group)
	if bound {
		f.Warn("the loss of one availability zone would take the group's majority")
		return
	}
	f.Info("the group survives the loss of any one availability zone")
}

// rosterHosts returns the hosts of this host's kind, or false if no planning is due
// or the list is older than maxRosterAge.
func (h *Host) rosterHosts(now time.Time) ([]placement.Host, bool) {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	if h.client == nil || now.Before(h.roster.nextPlanAt) || h.roster.reply == nil || now.Sub(h.roster.replyAt) > maxRosterAge {
		return nil, false
	}
	h.roster.nextPlanAt = now.Add(planInterval)
	kind := h.hostRecord().Kind
	var r []placement.Host
	for _, x := range h.roster.reply.Hosts {
		if x.Record.Kind == kind {
			r = append(r, placement.Host{
				Member: x.Record.Member, AvailabilityZone: x.Record.AvailabilityZone,
				SinceRegistration: x.Silent, Retiring: x.Record.Retiring,
			})
		}
	}
	return r, len(r) > 0
}

// handleRegister handles control.MethodRegister on the leader of the fleet group.
func (h *Host) handleRegister(ctx context.Context, in *control.Register) (*control.RegisterReply, error) {
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
	first := h.recordHost(now, s.Term, in, known)
	in.Host.Retiring = false
	if !known {
		h.Logger.WithFields(log.Fields{"host": in.Host.Name, "address": in.Host.Address().String(), "kind": in.Host.Kind.String()}).Info("host registered")
		h.commitFleet(ctx, &fleet.Command{Host: &in.Host})
	}
	if first != nil {
		h.commitFleet(ctx, &fleet.Command{First: first})
	}
	if inactive, ok := h.removableHost(now); ok {
		h.Logger.WithFields(log.Fields{"host": inactive.Name, "address": inactive.Address().String()}).Info("host removed from the roster")
		h.commitFleet(ctx, &fleet.Command{Drop: inactive.Member.ID})
	}
	r := &control.RegisterReply{Hosts: h.hostStates(now), First: h.fleet.First()}
	if in.Host.Kind == fleet.ControlHost {
		r.Targets = configuration.TargetListReply(h, h.Clock.Now(), in.Targets)
		r.Quarantine = configuration.QuarantineReply(h, h.Clock.Now(), in.Quarantine)
		r.Limits = configuration.TargetLimitsReply(h, in.Limits)
		r.Evacuation = configuration.EvacuationReply(h, in.Evacuation)
	}
	return r, nil
}

// recordHost records that a host is alive, and returns the initial store hosts if
// they are to be proposed now.
func (h *Host) recordHost(now time.Time, term uint64, in *control.Register, known bool) *fleet.InitialStoreHosts {
	r := &h.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		r.term, r.termStart, r.newestStoreAt, r.firstProposed = term, now, now, false
		r.lastReport, r.memberships = map[uint64]time.Time{}, map[uint32]reportedMembers{}
	}
	r.lastReport[in.Host.Member.ID] = now
	for _, x := range in.Leads {
		if old, ok := r.memberships[x.Group]; !ok || x.Term >= old.Term {
			r.memberships[x.Group] = reportedMembers{x, now}
		}
	}
	if !known && in.Host.Kind == fleet.StoreHost {
		r.newestStoreAt = now
	}
	var stores []fleet.HostRecord
	for _, x := range h.fleet.Hosts() {
		if _, alive := r.lastReport[x.Member.ID]; x.Kind == fleet.StoreHost && alive {
			stores = append(stores, x)
		}
	}
	if h.fleet.First() != nil || r.firstProposed || now.Sub(r.newestStoreAt) < storesQuietPeriod || len(stores) < h.minVoters() {
		return nil
	}
	r.firstProposed = true
	return &fleet.InitialStoreHosts{Hosts: stores, Groups: h.StoreGroups}
}

// commitFleet commits a change to the roster. A lost change is submitted again by
// the next registration of the host.
func (h *Host) commitFleet(ctx context.Context, c *fleet.Command) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, _, err := h.propose(ctx, control.FleetGroup, c); err != nil {
		h.Logger.WithError(err).Warn("committing a change to the roster failed")
	}
}

// hostStates lists the hosts and how long ago each last registered. For a host that
// has not registered with this leader, that is the time since the term began.
func (h *Host) hostStates(now time.Time) []control.HostState {
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	var list []control.HostState
	for _, x := range h.fleet.Hosts() {
		at, ok := h.roster.lastReport[x.Member.ID]
		if !ok {
			at = h.roster.termStart
		}
		list = append(list, control.HostState{Record: x, Silent: now.Sub(at)})
	}
	return list
}

// removableHost returns a host that has not registered for removeAfter and is not a
// member of any group. Removing it from the roster keeps other processes from calling
// it. A retiring host stays, so that its operator can query when it holds no replicas.
func (h *Host) removableHost(now time.Time) (fleet.HostRecord, bool) {
	for _, x := range h.hostStates(now) {
		id := x.Record.Member.ID
		if x.Silent < removeAfter || x.Record.Retiring {
			continue
		}
		if x.Record.Kind == fleet.StoreHost && h.hasNoReplicas(id) || x.Record.Kind == fleet.ControlHost && !h.isControlMember(id) {
			return x.Record, true
		}
	}
	return fleet.HostRecord{}, false
}

// isControlMember reports whether a host is a member of a group on control hosts.
func (h *Host) isControlMember(id uint64) bool {
	for g := range h.raftGroups() {
		if _, ok := g.Status().Members.Find(id); ok {
			return true
		}
	}
	return false
}

// document handles control.MethodDocument: it returns the configuration as the
// operator submitted it.
func (h *Host) document(ctx context.Context, _ *control.Document) (*control.DocumentReply, error) {
	notLeader, err := readBarrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.DocumentReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r := &control.DocumentReply{}
	r.Version, r.Document = h.fleet.Document()
	return r, nil
}

// retire handles control.MethodRetire: it marks a store host as retiring or, for a
// query, reports whether the host still holds replicas.
func (h *Host) retire(ctx context.Context, in *control.Retire) (*control.RetireReply, error) {
	if in.Query {
		return h.retireStatus(ctx, in.Name)
	}
	// Another retirement may not be committed between the check and the commit.
	h.retiring.Lock()
	defer h.retiring.Unlock()
	notLeader, err := readBarrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.RetireReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	if err := h.checkZonesWithout(in.Name); err != nil {
		h.Logger.WithField("host", in.Name).Info("store host retirement refused: " + err.Message)
		return &control.RetireReply{Err: err}, nil
	}
	v, notLeader, err := h.propose(ctx, control.FleetGroup, &fleet.Command{Retire: &fleet.RetireHost{Name: in.Name, Least: h.minVoters()}})
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.RetireReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	r, _ := v.(*fleet.CommitResult)
	h.Logger.WithField("host", in.Name).WithField("refused", r.Err != nil).Info("store host retirement requested")
	return &control.RetireReply{Err: r.Err}, nil
}

// checkZonesWithout returns an error if the store hosts suffice for groups that survive the loss of any one
// availability zone, but would not without the named one. A host that is retiring already may be named again.
func (h *Host) checkZonesWithout(name string) *rhubarbgate.Error {
	var hosts, left []placement.Host
	for _, x := range h.fleet.Hosts() {
		if x.Kind != fleet.StoreHost {
			continue
		}
		if x.Name == name && x.Retiring {
			return nil
		}
		hosts = append(hosts, placement.Host{Member: x.Member, AvailabilityZone: x.AvailabilityZone, Retiring: x.Retiring})
		left = append(left, placement.Host{Member: x.Member, AvailabilityZone: x.AvailabilityZone, Retiring: x.Retiring || x.Name == name})
	}
	p := &placement.Planner{MaxVoters: h.minVoters(), MinVoters: h.minVoters(), LostAfter: lostAfter}
	if p.CanSurviveZone(hosts) && !p.CanSurviveZone(left) {
		return rhubarbgate.Errorf(rhubarbgate.CodeConflict, rhubarbgate.NotRun, "without store host %q the loss of one availability zone would take the majority of groups", name)
	}
	return nil
}

// retireStatus reports whether a store host is retiring and holds no replicas.
func (h *Host) retireStatus(ctx context.Context, name string) (*control.RetireReply, error) {
	notLeader, err := readBarrier(ctx, h.groups[control.FleetGroup])
	if err != nil {
		return nil, err
	}
	if notLeader {
		return &control.RetireReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	hosts := h.fleet.Hosts()
	i := slices.IndexFunc(hosts, func(x fleet.HostRecord) bool { return x.Kind == fleet.StoreHost && x.Name == name })
	if i < 0 {
		return &control.RetireReply{Err: rhubarbgate.Errorf(rhubarbgate.CodeNotFound, rhubarbgate.NotRun, "no store host %q", name)}, nil
	}
	return &control.RetireReply{Done: hosts[i].Retiring && h.hasNoReplicas(hosts[i].Member.ID)}, nil
}

// hasNoReplicas reports whether the leader of each job group has reported, within
// maxRosterAge, a membership without the host.
func (h *Host) hasNoReplicas(id uint64) bool {
	first := h.fleet.First()
	if first == nil {
		return true
	}
	now := h.Clock.Now()
	h.roster.mu.Lock()
	defer h.roster.mu.Unlock()
	for g := 1; g <= first.Groups; g++ {
		x, ok := h.roster.memberships[uint32(g)]
		if _, member := x.Members.Find(id); !ok || member || now.Sub(x.at) > maxRosterAge {
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

// followConfiguration creates the watcher through which a store host polls the
// configuration.
func (h *Host) followConfiguration() {
	failures := new(expvar.Int)
	h.Metrics.Set("ConfigPollFailures", failures)
	h.watcher = &configuration.Watcher{
		Wire: h.wire, Parents: h.Seeds, Clock: h.Clock, Random: h.Random, Logger: h.Logger, Failures: failures,
	}
}
