package rhubarbgate

import (
	"expvar"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/spf13/pflag"
)

const (
	defaultMaxAge = 4 * time.Second
	defaultGrace  = 90 * time.Second
	defaultLag    = 2 * time.Second
	defaultGroups = 3
	defaultSubset = 16
)

// newRandom returns a generator with a seed of its own; 0 draws one.
func newRandom(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// newMetrics returns the counters published under a name, once a process.
func newMetrics(name string) *expvar.Map {
	if m, ok := expvar.Get(name).(*expvar.Map); ok {
		return m
	}
	return expvar.NewMap(name)
}

// daemonFlags are the settings that entries and sides share.
type daemonFlags struct {
	listen, control, parents, zone, debug string
	maxAge, grace, lag                    time.Duration
	files                                 tlsFlags
}

// add defines the flags; lagFlag names the one for the time that others take to
// notice that the process leaves.
func (d *daemonFlags) add(f *pflag.FlagSet, listen, lagFlag, lagHelp string, lag time.Duration) {
	f.StringVar(&d.listen, "listen", listen, "IP:PORT to serve on")
	f.StringVar(&d.control, "control", "", "control hosts: IP:PORT,…")
	f.StringVar(&d.parents, "parents", "", "where to poll configuration; empty means the control hosts")
	f.StringVar(&d.zone, "availability-zone", "", "this host's availability zone, as ZONE or REGION/ZONE")
	f.StringVar(&d.debug, "debug", "", "IP:PORT for counters; empty means none")
	f.DurationVar(&d.maxAge, "max-age", defaultMaxAge, "age of the configuration beyond which keyed work is refused")
	f.DurationVar(&d.lag, lagFlag, lag, lagHelp)
	f.DurationVar(&d.grace, "grace", defaultGrace, "how long to wait for work when stopping")
	d.files.add(f)
}

// daemonAddresses are the checked addresses of a daemon.
type daemonAddresses struct {
	listen           netip.AddrPort
	control, parents []netip.AddrPort
}

// check checks the shared settings.
func (d *daemonFlags) check(k *checks) daemonAddresses {
	k.that(d.zone != "", "availability-zone", "is missing")
	k.that(d.maxAge > 0, "max-age", "is not positive")
	a := daemonAddresses{listen: k.address("listen", d.listen), control: k.addresses("control", d.control)}
	a.parents = a.control
	if d.parents != "" {
		a.parents = k.addresses("parents", d.parents)
	}
	return a
}

// newCounter adds a counter to m.
func newCounter(m *expvar.Map, name string) *expvar.Int {
	v := new(expvar.Int)
	m.Set(name, v)
	return v
}
