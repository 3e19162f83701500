// Package replica runs control and store hosts: their replicated groups and the services that the groups' leaders provide.
package replica

import (
	"context"
	"crypto/tls"
	"expvar"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/controller/batch"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/streams"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/policy/cold"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/order"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/peer"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

const (
	// ClockDrift is the largest relative clock error that leader leases and
	// rate-limit grants tolerate.
	ClockDrift = 0.01
	// GrantTTL is how long an entry may spend a rate-limit grant. If the owner of a
	// rate changes twice within this time, the newest owner grants nothing until
	// the grants of both earlier owners have expired.
	GrantTTL = 1200 * time.Millisecond
	// minElectionTimeout is the shortest time without a leader before an election.
	minElectionTimeout = 350 * time.Millisecond
	// heartbeatInterval is how often a leader sends heartbeats.
	heartbeatInterval = 70 * time.Millisecond
	// controlSnapshotBytes is the size of a group's log at which a control host
	// takes a snapshot.
	controlSnapshotBytes = 16 << 20
	// storeSnapshotBytes is the corresponding size on store hosts. Their logs keep
	// item bodies in memory, so it covers only a few seconds of heavy load.
	storeSnapshotBytes = 3 << 19
	// leadershipCheckInterval is how often a host checks which groups it leads.
	leadershipCheckInterval = 50 * time.Millisecond
	// backlogInterval is how often the backlog of batch items is recomputed.
	backlogInterval = 500 * time.Millisecond
	// defaultRetention is how long ended jobs, their files and idempotency keys are kept.
	defaultRetention = 48 * time.Hour
	// handoverMinWait is how long a stopping host keeps running at least, so that
	// calls in flight finish and entries find the new leaders.
	handoverMinWait = 300 * time.Millisecond
	// handoverTimeout bounds the wait for other leaders: a failed transfer ends
	// after one election timeout, and an election takes at most two.
	handoverTimeout = 3 * minElectionTimeout
)

// Host is one control or store host. Set the exported fields before Run.
type Host struct {
	// ID identifies the host in its groups; 0 means the random one that is stored
	// in the data folder.
	ID uint64
	// Data is the path of the data folder.
	Data string
	// Listen is the address at which other processes of the fleet reach the host.
	Listen netip.AddrPort
	// Members are the addresses of the initial control hosts by ID.
	Members map[uint64]netip.AddrPort
	// Seeds are the addresses of the control hosts that form the initial membership.
	// If set, they replace Members: further hosts register, and leaders plan the
	// membership of their groups automatically.
	Seeds []netip.AddrPort
	// Store makes this a store host, which replicates batch jobs and polls the
	// configuration from the control hosts.
	Store bool
	// Name and AvailabilityZone are registered with the fleet group; placement
	// spreads replicas by availability zone.
	Name             string
	AvailabilityZone string
	// ToleratedLosses is how many hosts may be lost at once while all groups stay
	// available.
	ToleratedLosses int
	// Join makes the host wait until it is added to an existing group.
	Join bool
	// JobGroups is the number of job groups on this host. It never changes and is the
	// same on all control hosts, and on all store hosts.
	JobGroups int
	// StoreGroups is the number of job groups to create on the store hosts.
	StoreGroups int
	// Operators holds the public keys and the number of signatures that a bundle needs.
	Operators config.Operators
	TLS       *tls.Config // for connections to other hosts
	// Dialer opens connections to other hosts; nil means a default dialer.
	Dialer *net.Dialer
	// Traffic, if set, counts the bytes exchanged with other processes of the fleet.
	Traffic *wire.Traffic
	// Account, if set, bounds what the process holds for others.
	Account  *account.Account
	Listener net.Listener
	Clock    clockwork.Clock
	Random   *rand.Rand
	Logger   log.Interface
	Metrics  *expvar.Map
	// MaxBatch bounds the commands that are written to disk in one sync; 0 means no
	// bound.
	MaxBatch int
	// Retention is how long ended jobs, their files and idempotency keys are kept;
	// 0 means 48 hours.
	Retention time.Duration

	// Directory reads the platform's list of targets, which the host serves to the
	// daemons that poll it; nil means that there is no such list.
	Directory rhubarbgate.Directory
	// ControlHostsUpdated, if set, is called with the addresses of the registered
	// control hosts after each registration.
	ControlHostsUpdated func([]netip.AddrPort)

	identity      disk.Identity
	client        *control.Client        // calls the fleet group; nil without Seeds
	watcher       *configuration.Watcher // nil on control hosts
	roster        roster
	retiring      sync.Mutex     // held while a retirement is checked and committed
	fleet         *fleet.Machine // nil on store hosts
	targets       atomic.Pointer[timedTargetList]
	quarantine    published[control.Quarantine, quarantine.Table]
	evacuation    registeredEvacuation
	limits        published[limitList, apportion.Table]
	cold          *cold.Tracker // nil on store hosts
	streams       streams.Memory
	nextLimitsAt  time.Time     // when publishTargetLimits next reads the table; guarded by limits.mu
	groups        []*raft.Group // by group ID; the fleet group is nil on store hosts
	jobGroups     []*leadership // by group ID - 1
	transport     *peer.Transport
	wire          *wire.Client
	notifier      configuration.Notifier
	serving       atomic.Bool
	failure       chan error
	backlog       atomic.Pointer[[]string]
	nextBacklogAt time.Time // when updateBacklog next recomputes the backlog
}

// Open creates the groups and loads their state from the data folder.
func (h *Host) Open() error {
	id, err := disk.LoadIdentity(h.Data, h.ID, h.Random)
	if err != nil {
		return errors.Annotate(err, "data folder")
	}
	h.identity, h.ID = id, id.ID
	h.failure = make(chan error, h.JobGroups+1)
	h.wire = wire.NewClient(h.TLS)
	h.wire.Dialer = h.Dialer
	h.wire.Traffic = h.Traffic
	h.transport = &peer.Transport{Client: h.wire, Clock: h.Clock, Dropped: new(expvar.Int)}
	h.Metrics.Set("PeerMessagesDropped", h.transport.Dropped)
	h.Metrics.Set("LeasesWatched", h.sumLed(func(l *leadership) int { return l.dispatcher.LeaseCount() }))
	h.Metrics.Set("ItemsWaiting", h.sumLed(func(l *leadership) int { return l.machine.Jobs.Waiting() }))
	h.Metrics.Set("JobsWithoutRoute", h.sumLed(func(l *leadership) int { return len(l.machine.Jobs.JobsWithoutRoute(h.Clock.Now())) }))
	h.Metrics.Set("JobsUnasked", h.sumLed(func(l *leadership) int { return l.dispatcher.UnaskedCount() }))
	if len(h.Seeds) > 0 {
		h.client = &control.Client{Wire: h.wire, Hosts: h.Seeds, Clock: h.Clock}
	}
	if h.Store {
		h.followConfiguration()
		h.groups = append(h.groups, nil)
	} else {
		h.cold = &cold.Tracker{Clock: h.Clock, Logger: h.Logger}
		h.Metrics.Set("TargetsCold", expvar.Func(func() any { return len(h.cold.Targets()) }))
		h.streams.Clock, h.streams.History = h.Clock, &versions.History{Clock: h.Clock}
		h.Metrics.Set("StreamsKept", expvar.Func(func() any { return h.streams.Len() }))
		h.fleet = fleet.New()
		h.fleet.Changed = func(*config.Config) { h.notifier.Notify() }
		h.prepareEvacuation()
		if err := h.addGroup(control.FleetGroup, h.fleet); err != nil {
			return errors.Trace(err)
		}
		if err := h.loadQuarantine(); err != nil {
			// The daemons report what they know of it.
			h.Logger.WithError(err).Warn("the saved quarantine cannot be read")
		}
		if err := h.loadVersions(); err != nil {
			// Streams that began before are refused for a while.
			h.Logger.WithError(err).Warn("the saved history of software versions cannot be read")
		}
	}
	for i := 1; i <= h.JobGroups; i++ {
		if err := h.addJobGroup(uint32(i)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// addJobGroup opens a job group and prepares what its leader needs.
func (h *Host) addJobGroup(id uint32) error {
	dir := filepath.Join(h.Data, "spill")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Trace(err)
	}
	m := shard.New(&disk.Spill{Dir: dir})
	if err := h.addGroup(id, m); err != nil {
		return errors.Trace(err)
	}
	l := &leadership{group: h.groups[id], machine: m, logger: h.Logger}
	l.owner = &limit.Owner{Clock: h.Clock, Rates: h.requestRate, TTL: GrantTTL, Drift: ClockDrift}
	l.dispatcher = &batch.Dispatcher{
		Clock: h.Clock, Machine: m.Jobs,
		Order:    &order.Deadline{WeightedShare: order.DefaultWeightedShare, Random: rand.New(rand.NewPCG(h.Random.Uint64(), uint64(id)))},
		Weight:   func(w string) float64 { return h.Current().Weight(w) },
		ItemRate: h.itemRate, Config: h.Current, Rerouted: h.logRerouted,
	}
	h.jobGroups = append(h.jobGroups, l)
	return nil
}

// requestRate returns the request rate limit of a workspace.
func (h *Host) requestRate(workspace string) (limit.Rate, bool) {
	w, ok := h.Current().Workspaces[workspace]
	return limit.Rate{PerSecond: w.Rate, Burst: w.Burst}, ok
}

// itemRate returns the batch item rate limit of a workspace, or false if it has none.
func (h *Host) itemRate(workspace string) (limit.Rate, bool) {
	w := h.Current().Workspaces[workspace]
	return limit.Rate{PerSecond: w.ItemRate, Burst: max(w.ItemBurst, 1)}, w.ItemRate > 0
}

// addGroup opens a replicated group with its log and snapshots on disk.
func (h *Host) addGroup(id uint32, m rhubarbgate.StateMachine) error {
	dir := filepath.Join(h.Data, fmt.Sprintf("group-%d", id))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Trace(err)
	}
	snapshots := &disk.Snapshots{Dir: dir}
	if err := snapshots.Load(); err != nil {
		return errors.Trace(err)
	}
	g := &raft.Group{
		ID:          id,
		Self:        raft.Member{ID: h.ID, Incarnation: h.identity.Incarnation, Address: h.Listen},
		Clock:       h.Clock,
		Random:      rand.New(rand.NewPCG(h.Random.Uint64(), uint64(id))),
		Log:         &disk.Log{Dir: dir},
		Snapshots:   snapshots,
		Transport:   h.transport,
		Machine:     m,
		Logger:      h.Logger,
		ElectionMin: minElectionTimeout, Heartbeat: heartbeatInterval, Drift: ClockDrift,
		SnapshotBytes: h.snapshotBytes(),
		MaxBatch:      h.MaxBatch,
	}
	if err := g.Open(); err != nil {
		return errors.Trace(err)
	}
	h.groups = append(h.groups, g)
	return nil
}

func (h *Host) snapshotBytes() int {
	if h.Store {
		return storeSnapshotBytes
	}
	return controlSnapshotBytes
}

// Run serves until ctx ends, or a group or the listener fails. When ctx ends, it
// transfers leadership to other hosts before it stops.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.transport.Start(work)
	mux := wire.NewMux()
	mux.OnPanic, mux.OnTooLarge = wire.LogPanics(h.Logger), wire.LogTooLarge(h.Logger)
	mux.Port = h.Account.Port("fleet", account.Messages, true)
	h.registerMethods(mux)
	var tasks conc.WaitGroup
	tasks.Go(func() { h.fail(mux.Serve(work, h.Listener)) })
	for g := range h.raftGroups() {
		tasks.Go(func() { h.fail(g.Run(work)) })
	}
	if h.Store {
		tasks.Go(func() { h.watcher.Run(work) })
	} else {
		tasks.Go(func() { h.bootstrap(work) })
		tasks.Go(func() { h.saveQuarantine(work) })
		tasks.Go(func() { h.saveVersions(work) })
	}
	if h.Directory != nil {
		tasks.Go(func() { h.pollTargets(work) })
	}
	if h.client != nil {
		tasks.Go(func() { h.register(work) })
	}
	tasks.Go(func() { h.runLeaderDuties(work) })
	h.serving.Store(true)
	var err error
	select {
	case <-ctx.Done():
		h.transferLeadership()
	case err = <-h.failure:
	}
	h.serving.Store(false)
	stop()
	tasks.Wait()
	h.transport.Wait()
	return errors.Trace(err)
}

// raftGroups yields the groups that the host replicates.
func (h *Host) raftGroups() iter.Seq[*raft.Group] {
	return func(yield func(*raft.Group) bool) {
		for _, g := range h.groups {
			if g != nil && !yield(g) {
				return
			}
		}
	}
}

// fail makes Run return err, unless err is nil.
func (h *Host) fail(err error) {
	if err == nil {
		return
	}
	select {
	case h.failure <- err:
	default:
	}
}

// transferLeadership makes other hosts lead this host's groups, so that a planned
// shutdown leaves no group without a leader. It returns after handoverMinWait at
// the earliest, once other hosts lead all groups or handoverTimeout has elapsed.
func (h *Host) transferLeadership() {
	deadline := h.Clock.Now().Add(handoverTimeout)
	for g := range h.raftGroups() {
		g.TransferLeadership()
	}
	h.Clock.Sleep(handoverMinWait)
	for g := range h.raftGroups() {
		for !leadershipTransferred(g.Status()) {
			if h.Clock.Now().After(deadline) {
				h.Logger.WithField("group", g.ID).Warn("stopping before another host leads the group")
				break
			}
			h.Clock.Sleep(leadershipCheckInterval)
		}
	}
}

// leadershipTransferred reports whether another host leads the group, or there is
// no other voter that could.
func leadershipTransferred(s raft.Status) bool {
	for _, m := range s.Members {
		if m.ID != s.Self && !m.Learner {
			return s.Leader != 0 && s.Leader != s.Self
		}
	}
	return true
}

// Ready reports whether the host serves; a control host also needs a membership
// of the fleet group.
func (h *Host) Ready() bool {
	return h.serving.Load() && (h.Store || len(h.groups[control.FleetGroup].Status().Members) > 0)
}

// runLeaderDuties does the periodic work for the groups that this host leads, and
// updates the backlog, until ctx ends.
func (h *Host) runLeaderDuties(ctx context.Context) {
	t := h.Clock.NewTicker(leadershipCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		for _, l := range h.jobGroups {
			l.tick(h)
		}
		h.updateBacklog()
		h.updateQuarantine()
		h.updateTargetLimits()
		h.planMembers()
	}
}

// updateBacklog collects what pending items need and wakes polling daemons when
// there is something new. Each replica has this state, so the leader is not needed.
func (h *Host) updateBacklog() {
	now := h.Clock.Now()
	if now.Before(h.nextBacklogAt) {
		return
	}
	h.nextBacklogAt = now.Add(backlogInterval)
	set := map[string]bool{}
	for _, l := range h.jobGroups {
		l.machine.Jobs.Backlog(set)
	}
	list := slices.Sorted(maps.Keys(set))
	old := h.backlog.Swap(&list)
	if old == nil || configuration.HasNewElement(*old, list) {
		h.notifier.Notify()
	}
}

// sumLed returns a metric that sums a figure over the job groups that this host leads.
func (h *Host) sumLed(figure func(l *leadership) int) expvar.Func {
	return func() any {
		n := 0
		for _, l := range h.jobGroups {
			if l.leads() {
				n += figure(l)
			}
		}
		return n
	}
}

// logRerouted logs that a job has another route, or none.
func (h *Host) logRerouted(r jobs.Rerouted) {
	f := log.Fields{"job": r.Job, "acceptedBy": r.Accepted, "route": r.Route, "host": r.Origin.Host, "path": r.Origin.Path, "version": h.Current().Version}
	if r.Route == "" {
		h.Logger.WithFields(f).Warn("batch job has no route any more")
		return
	}
	h.Logger.WithFields(f).Info("batch job goes on under another route")
}

func (h *Host) retention() time.Duration {
	if h.Retention > 0 {
		return h.Retention
	}
	return defaultRetention
}
