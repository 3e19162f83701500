// Package replica is the role of the hosts with a disk, control and store hosts: the replicated groups and what their leaders own.
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
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/order"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/peer"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

const (
	// ClockDrift is the largest relative error of a clock that the leases allow for.
	ClockDrift = 0.01
	// GrantTTL is how long an entry may spend prepaid tokens. After two changes of
	// the owner in a row nothing is granted for as long.
	GrantTTL = 1200 * time.Millisecond
	// defaultElection is the shortest time without a leader before an election.
	defaultElection = 350 * time.Millisecond
	// defaultHeartbeat is the interval of a leader's heartbeats.
	defaultHeartbeat = 70 * time.Millisecond
	// snapshotBytes is the size of a group's log at which a snapshot is taken.
	snapshotBytes = 16 << 20
	// storeSnapshotBytes is the same on store hosts, whose logs hold the bodies of
	// items in memory: a few seconds of a busy site.
	storeSnapshotBytes = 3 << 19
	// leadershipInterval is how often a host checks what it leads.
	leadershipInterval = 50 * time.Millisecond
	// backlogInterval is how often the backlog of batch items is looked at.
	backlogInterval = 500 * time.Millisecond
	// defaultRetention is how long ended jobs, their files and idempotency keys are kept.
	defaultRetention = 48 * time.Hour
	// shutdownPause is how long a stopping host stays at least, for what is under
	// way and for entries to learn of new leaders.
	shutdownPause = 300 * time.Millisecond
	// shutdownLimit bounds the wait for other leaders: a transfer that fails ends
	// after an election timeout, and an election takes two at most.
	shutdownLimit = 3 * defaultElection
)

// Host is one control or store host. Set the exported fields before Run.
type Host struct {
	// ID is the host's; 0 means the one drawn with the data folder.
	ID     uint64
	Data   string
	Listen netip.AddrPort
	// Members are the first control hosts by ID.
	Members map[uint64]netip.AddrPort
	// Seeds are control hosts to begin with, instead of Members: hosts then find
	// each other and plan the membership of the groups by themselves.
	Seeds []netip.AddrPort
	// Store hosts replicate batch jobs and follow the configuration of the
	// control hosts.
	Store bool
	// Name and AvailabilityZone describe the host to the others.
	Name             string
	AvailabilityZone string
	// Losses is how many hosts may be lost at once.
	Losses int
	// Join hosts wait to be added to an existing group.
	Join      bool
	JobGroups int
	// StoreGroups is the number of job groups that the store hosts are to have.
	StoreGroups int
	Operators   config.Operators
	TLS         *tls.Config // for connections to other hosts
	// Dialer opens connections to other hosts; nil means the default.
	Dialer *net.Dialer
	// Traffic counts the bytes between the fleet's processes, if set.
	Traffic  *wire.Traffic
	Listener net.Listener
	Clock    clockwork.Clock
	Random   *rand.Rand
	Logger   log.Interface
	Metrics  *expvar.Map
	// MaxBatch bounds the commands synced together; 0 means no bound.
	MaxBatch int
	// Retention is how long ended jobs, their files and idempotency keys are kept;
	// 0 means 48 hours.
	Retention time.Duration

	// Directory reads the platform's list of targets, for the daemons that poll
	// this host; nil means that there is none.
	Directory rhubarbgate.Directory
	// Met is called, if set, with the control hosts that are known.
	Met func([]netip.AddrPort)

	identity  disk.Identity
	client    *control.Client        // of the fleet group, with Seeds
	watcher   *configuration.Watcher // on store hosts
	roster    roster
	fleet     *fleet.Machine // nil on store hosts
	targets   atomic.Pointer[readList]
	groups    []*raft.Group
	shards    []*leadership // by group, from 1
	transport *peer.Transport
	wire      *wire.Client
	notifier  configuration.Notifier
	serving   atomic.Bool
	failure   chan error
	backlog   atomic.Pointer[[]string]
	backlogAt time.Time // of the next update
}

// Open creates the groups and reads their state.
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
	h.Metrics.Set("LeasesWatched", expvar.Func(func() any { return h.leases() }))
	if len(h.Seeds) > 0 {
		h.client = &control.Client{Wire: h.wire, Hosts: h.Seeds, Clock: h.Clock}
	}
	if h.Store {
		h.followConfiguration()
		h.groups = append(h.groups, nil)
	} else {
		h.fleet = fleet.New()
		h.fleet.Changed = func(*config.Config) { h.notifier.Notify() }
		if err := h.addGroup(control.FleetGroup, h.fleet); err != nil {
			return errors.Trace(err)
		}
	}
	for i := 1; i <= h.JobGroups; i++ {
		if err := h.addShard(uint32(i)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (h *Host) addShard(id uint32) error {
	dir := filepath.Join(h.Data, "spill")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Trace(err)
	}
	m := shard.New(&disk.Spill{Dir: dir})
	if err := h.addGroup(id, m); err != nil {
		return errors.Trace(err)
	}
	l := &leadership{group: h.groups[id], machine: m}
	l.owner = &limit.Owner{Clock: h.Clock, Rates: h.rate, TTL: GrantTTL, Drift: ClockDrift}
	l.dispatcher = &batch.Dispatcher{
		Clock: h.Clock, Machine: m.Jobs,
		Order:    &order.Deadline{WeightedShare: order.DefaultWeightedShare, Random: rand.New(rand.NewPCG(h.Random.Uint64(), uint64(id)))},
		Weight:   func(w string) float64 { return h.Current().Weight(w) },
		ItemRate: h.itemRate,
	}
	h.shards = append(h.shards, l)
	return nil
}

func (h *Host) rate(workspace string) (limit.Rate, bool) {
	w, ok := h.Current().Workspaces[workspace]
	return limit.Rate{PerSecond: w.Rate, Burst: w.Burst}, ok
}

func (h *Host) itemRate(workspace string) (limit.Rate, bool) {
	w := h.Current().Workspaces[workspace]
	return limit.Rate{PerSecond: w.ItemRate, Burst: max(w.ItemBurst, 1)}, w.ItemRate > 0
}

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
		ElectionMin: defaultElection, Heartbeat: defaultHeartbeat, Drift: ClockDrift,
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
	return snapshotBytes
}

// Run serves until ctx ends. It then hands leadership over before it stops.
func (h *Host) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.transport.Start(work)
	mux := wire.NewMux()
	h.methods(mux)
	var tasks conc.WaitGroup
	tasks.Go(func() { h.fail(mux.Serve(work, h.Listener)) })
	for g := range h.running() {
		tasks.Go(func() { h.fail(g.Run(work)) })
	}
	if h.Store {
		tasks.Go(func() { h.watcher.Run(work) })
	} else {
		tasks.Go(func() { h.bootstrap(work) })
	}
	if h.Directory != nil {
		tasks.Go(func() { h.readTargets(work) })
	}
	if h.client != nil {
		tasks.Go(func() { h.register(work) })
	}
	tasks.Go(func() { h.lead(work) })
	h.serving.Store(true)
	var err error
	select {
	case <-ctx.Done():
		h.handOver()
	case err = <-h.failure:
	}
	h.serving.Store(false)
	stop()
	tasks.Wait()
	h.transport.Wait()
	return errors.Trace(err)
}

// running yields the groups that the host runs.
func (h *Host) running() iter.Seq[*raft.Group] {
	return func(yield func(*raft.Group) bool) {
		for _, g := range h.groups {
			if g != nil && !yield(g) {
				return
			}
		}
	}
}

func (h *Host) fail(err error) {
	if err == nil {
		return
	}
	select {
	case h.failure <- err:
	default:
	}
}

// handOver gives leadership away, so that a planned stop leaves no gap. It
// returns once other hosts lead all groups, or when shutdownLimit has passed.
func (h *Host) handOver() {
	limit := h.Clock.Now().Add(shutdownLimit)
	for g := range h.running() {
		g.Transfer()
	}
	h.Clock.Sleep(shutdownPause)
	for g := range h.running() {
		for !handedOver(g.Status()) {
			if h.Clock.Now().After(limit) {
				h.Logger.WithField("group", g.ID).Warn("stopping without a new leader")
				break
			}
			h.Clock.Sleep(leadershipInterval)
		}
	}
}

// handedOver reports whether another host leads, or no other host can.
func handedOver(s raft.Status) bool {
	for _, m := range s.Members {
		if m.ID != s.Self && !m.Learner {
			return s.Leader != 0 && s.Leader != s.Self
		}
	}
	return true
}

// Ready reports whether the host takes part in its groups.
func (h *Host) Ready() bool {
	return h.serving.Load() && (h.Store || len(h.groups[control.FleetGroup].Status().Members) > 0)
}

// lead starts owners and dispatchers of groups that this host comes to lead, and
// ends leases that were not renewed.
func (h *Host) lead(ctx context.Context) {
	t := h.Clock.NewTicker(leadershipInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		for _, l := range h.shards {
			l.check(h)
		}
		h.updateBacklog()
		h.planMembers()
	}
}

// updateBacklog looks at what pending items need, and tells those that poll of
// news. Every replica knows, so no leader has to be asked.
func (h *Host) updateBacklog() {
	now := h.Clock.Now()
	if now.Before(h.backlogAt) {
		return
	}
	h.backlogAt = now.Add(backlogInterval)
	set := map[string]bool{}
	for _, l := range h.shards {
		l.machine.Jobs.Backlog(set)
	}
	list := slices.Sorted(maps.Keys(set))
	old := h.backlog.Swap(&list)
	if old == nil || configuration.Gains(*old, list) {
		h.notifier.Notify()
	}
}

// leases returns how many leases of items end unless they are renewed here.
func (h *Host) leases() int {
	n := 0
	for _, l := range h.shards {
		if l.leads() {
			n += l.dispatcher.Leases()
		}
	}
	return n
}

func (h *Host) retention() time.Duration {
	if h.Retention > 0 {
		return h.Retention
	}
	return defaultRetention
}
