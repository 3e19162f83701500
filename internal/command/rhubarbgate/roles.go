package rhubarbgate

import (
	"expvar"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/spf13/pflag"
)

// Defaults of the daemons' flags.
const (
	defaultMaxAge      = 4 * time.Second
	defaultGrace       = 90 * time.Second
	defaultBalancerLag = 2 * time.Second
	defaultJobGroups   = 3
	defaultSubset      = 16
)

// newRandom returns a generator with the given seed, or a random seed if it is 0.
func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// newMetrics returns the map of counters published under name. A second call with
// the same name returns the same map, as expvar panics on a repeated name.
func newMetrics(name string) *expvar.Map {
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}

// daemonFlags are the settings that entries and sides have in common.
type daemonFlags struct {
	listen, control, parents, availabilityZone, debug string
	maxAge, grace, lag                                time.Duration
	tlsFiles                                          tlsFlags
	memory                                            memoryFlags
}

// add defines the flags. lagFlag, lagHelp and lag are the name, help text and
// default of the flag that sets how long requests still arrive after the process
// reports that it is leaving.
func (d *daemonFlags) add(f *pflag.FlagSet, listen, lagFlag, lagHelp string, lag time.Duration) {
	f.StringVar(&d.listen, "listen", listen, "IP:PORT to listen on; not used by a side with --target-list, see --fleet-port")
	f.StringVar(&d.control, "control", "", "control hosts, as IP:PORT,…; required")
	f.StringVar(&d.parents, "parents", "", "hosts to poll the configuration from, as IP:PORT,…; empty means the control hosts; an entry with --target-list always polls the control hosts")
	f.StringVar(&d.availabilityZone, "availability-zone", "", "this host's availability zone, as ZONE or REGION/ZONE; required")
	f.StringVar(&d.debug, "debug", "", "IP:PORT to serve counters on, under /debug/vars; empty means none")
	f.DurationVar(&d.maxAge, "max-age", defaultMaxAge, "age of the configuration past which requests that need a caller's key are refused, and a side with --target-list leases no batch items")
	f.DurationVar(&d.lag, lagFlag, lag, lagHelp)
	f.DurationVar(&d.grace, "grace", defaultGrace, "longest wait for requests in flight at shutdown, after the time in --balancer-lag or --entry-lag; an entry with --target-list counts that time in; not used by a side with --target-list")
	d.tlsFiles.add(f)
	d.memory.add(f)
}

// daemonAddresses are the parsed addresses in daemonFlags.
type daemonAddresses struct {
	listen           netip.AddrPort
	control, parents []netip.AddrPort
}

// check validates the common settings and returns the parsed addresses. Without
// parents, the configuration is polled from the control hosts.
func (d *daemonFlags) check(v *validator) daemonAddresses {
	v.require(d.availabilityZone != "", "availability-zone", "is missing")
	d.memory.check(v)
	v.require(d.maxAge > 0, "max-age", "is not positive")
	a := daemonAddresses{listen: v.address("listen", d.listen), control: v.addresses("control", d.control)}
	a.parents = a.control
	if d.parents != "" {
		a.parents = v.addresses("parents", d.parents)
	}
	return a
}

// newCounter adds a counter to m under name and returns it.
func newCounter(m *expvar.Map, name string) *expvar.Int {
	v := new(expvar.Int)
	m.Set(name, v)
	return v
}
