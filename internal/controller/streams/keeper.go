package streams

import (
	"context"
	"expvar"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/singleflight"

	"rhubarbgate.example/rhubarbgate/internal/clock/deadline"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

const (
	// sendDelay is the time for which records are collected into one message. Streams whose entry
	// ends within it are refused when they are taken up.
	sendDelay = 10 * time.Millisecond
	// sendTimeout bounds one message with records.
	sendTimeout = 400 * time.Millisecond
	// findTimeout bounds the time for which a request waits for the replies of the control hosts.
	findTimeout = 250 * time.Millisecond
	// maxPending bounds the records that wait to be sent.
	maxPending = 4096
	// refreshInterval is the time between two readings of the platform's list, which all processes share.
	refreshInterval = 250 * time.Millisecond
	// maxNameBytes bounds the names of streams, which contain callers' own IDs.
	maxNameBytes = 512
)

// Source is how the version of a stream became known.
type Source int

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Source -output=source_string.go

const (
	// Unknown streams must not be continued: several versions served, and no record is left.
	Unknown Source = iota
	// Recorded streams have a record.
	Recorded
	// OnlyVersion streams began while their service had one version, as control hosts know.
	OnlyVersion
	// OnlyVersionHere streams did so as this process knows from a list that it read since it was asked,
	// because too few control hosts replied.
	OnlyVersionHere
)

// Origin is where a stream began.
type Origin struct {
	Source Source
	// Record is set if the Source is Recorded.
	Record control.StreamRecord
	// Versions holds, by service, the version at which the stream began if it began there, unless
	// the Source is Recorded.
	Versions map[string]string
}

// Keeper sends records of streams to all control hosts and finds them there. Set the exported
// fields before Run. A nil Keeper records nothing.
type Keeper struct {
	Wire  *wire.Client
	Clock clockwork.Clock
	// History follows the list of targets, as this process knows it.
	History *versions.History
	// Refresh reads the list of targets from the platform into History.
	Refresh func(ctx context.Context)
	// Records counts the records that were made, Dropped those that were not sent because too many
	// waited or their names are too long, and Finds the questions to control hosts.
	Records, Dropped, Finds *expvar.Int

	mu      sync.Mutex
	hosts   []netip.AddrPort
	pending []control.StreamRecord
	wake    chan struct{}

	refreshing  singleflight.Group
	refreshedAt time.Time // when Refresh was last called; used within refreshing
}

// NewKeeper returns a Keeper that publishes its counters in m.
func NewKeeper(w *wire.Client, clock clockwork.Clock, h *versions.History, m *expvar.Map) *Keeper {
	counter := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.Set(name, v)
		return v
	}
	return &Keeper{
		Wire: w, Clock: clock, History: h, Records: counter("StreamsRecorded"), Dropped: counter("StreamRecordsDropped"), Finds: counter("StreamsLookedUp"),
		wake: make(chan struct{}, 1),
	}
}

// SetHosts replaces the addresses of the control hosts.
func (k *Keeper) SetHosts(hosts []netip.AddrPort) {
	if len(hosts) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts = hosts
}

// Record records where a stream began, unless its service has had one version for longer than
// streams last, which is the window. It does not block.
func (k *Keeper) Record(r control.StreamRecord, window time.Duration) {
	if k == nil {
		return
	}
	if v, only := k.History.Only(r.Service, window); only && r.Listed && v == r.Version {
		return
	}
	k.Records.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) >= maxPending || len(r.Stream) > maxNameBytes {
		k.Dropped.Add(1)
		return
	}
	k.pending = append(k.pending, r)
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run sends records until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var sends conc.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		k.Clock.Sleep(sendDelay)
		k.mu.Lock()
		records, hosts := k.pending, k.hosts
		k.pending = nil
		k.mu.Unlock()
		for _, a := range hosts {
			sends.Go(func() {
				ctx, cancel := deadline.WithTimeout(ctx, k.Clock, sendTimeout)
				defer cancel()
				// Another control host has the records, or their streams are refused when they are
				// taken up.
				_, _ = wire.Call[control.StreamsReply](ctx, k.Wire, a, control.MethodStreams, &control.Streams{Began: records})
			})
		}
	}
}

// Find returns where a stream of one of the services began. It asks all control hosts, and takes the
// first record. Without one the stream began at the only version that its service had within the
// window, if each had one: streams that began while there were several have a record. The list that this
// process has says nothing of that: the process may have been cut off or suspended while targets of another
// version joined and others sent them streams. So most control hosts have to reply with a current list,
// or this process reads the list now.
func (k *Keeper) Find(ctx context.Context, stream string, services []string, window time.Duration) Origin {
	k.Finds.Add(1)
	asked := k.Clock.Now()
	k.mu.Lock()
	hosts := k.hosts
	k.mu.Unlock()
	replies := make(chan *control.StreamsReply, len(hosts))
	for _, a := range hosts {
		go func() {
			// A call that is cancelled costs its connection, so that those of slower hosts go on.
			ctx, cancel := deadline.WithTimeout(context.WithoutCancel(ctx), k.Clock, findTimeout)
			defer cancel()
			r, err := wire.Call[control.StreamsReply](ctx, k.Wire, a, control.MethodStreams, &control.Streams{Find: stream, Services: services})
			if err != nil {
				r = nil // the others know as much
			}
			replies <- r
		}()
	}
	listed := map[string][]versions.Listed{}
	add := func(l []versions.Listed) {
		for _, x := range l {
			listed[x.Service] = append(listed[x.Service], x)
		}
	}
	known, current := false, 0
	for range hosts {
		r := <-replies
		if r == nil {
			continue
		}
		if r.Found != nil {
			return Origin{Source: Recorded, Record: *r.Found}
		}
		if r.Known > 0 {
			current++
		}
		known = known || r.Known >= window
		add(r.Listed)
	}
	source := OnlyVersion
	if 2*current <= len(hosts) {
		source = OnlyVersionHere
		if !k.refresh(ctx, asked) {
			return Origin{}
		}
	}
	if k.History.Known() >= window {
		known = true
		for _, s := range services {
			add(k.History.Versions(s))
		}
	}
	o := Origin{Source: source, Versions: map[string]string{}}
	for _, s := range services {
		v, only := versions.Only(listed[s], window)
		if !known || !only {
			return Origin{}
		}
		o.Versions[s] = v
	}
	return o
}

// refresh reads the list of targets and reports whether it succeeded since the given time. Concurrent calls share
// readings.
func (k *Keeper) refresh(ctx context.Context, since time.Time) bool {
	if k.Refresh == nil {
		return false
	}
	for began := (time.Time{}); began.Before(since); {
		v, _, _ := k.refreshing.Do("", func() (any, error) {
			if wait := refreshInterval - k.Clock.Since(k.refreshedAt); wait > 0 {
				k.Clock.Sleep(wait)
			}
			k.refreshedAt = k.Clock.Now()
			k.Refresh(context.WithoutCancel(ctx))
			return k.refreshedAt, nil
		})
		// A reading that another call began may be too old.
		began = v.(time.Time)
	}
	return k.History.ObservedSince(since)
}
