package rhubarbgate

import (
	"expvar"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"rhubarbgate.example/rhubarbgate/internal/net/account"
)

const (
	// defaultMemoryLimit is the default of --memory-limit, in megabytes.
	defaultMemoryLimit = 512
	// minMemoryLimit leaves room for the largest request, a batch job of 4 MiB that is decoded, beside
	// what a process needs without requests.
	minMemoryLimit = 64
	// heldDivisor is the part of the memory limit that requests may hold: a third. The rest is for the
	// process itself and for what the garbage collector has not freed yet.
	heldDivisor = 3
	// reservedDivisor is the part of the descriptors that the machine's other programs and the
	// process's files have: 200 of 4,200.
	reservedDivisor = 21
	minReserved     = 16
	// A process opens about one connection for each that it accepts, and has some ports more, so a main
	// port may have two fifths of the descriptors.
	connectionsNumerator, connectionsDivisor = 2, 5
	// maxDefaultConnections bounds the default where descriptors are plenty.
	maxDefaultConnections = 8192
	// pooledBodyBytes is the longest body whose buffer the HTTP library keeps for later requests.
	pooledBodyBytes = 64 << 10
)

// maxOptional bounds the value of an optionalInt.
const maxOptional = 1 << 30

// optionalInt is a flag whose value may be empty, as a deployment may not have the field it is set from,
// and may have a fraction, which is dropped, as settings may be written as 184.0.
type optionalInt struct{ value int }

func (o *optionalInt) String() string { return strconv.Itoa(o.value) }
func (o *optionalInt) Type() string   { return "int" }

// Set implements pflag.Value.
func (o *optionalInt) Set(s string) error {
	if s == "" {
		return nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f >= 0 && f <= maxOptional) {
		return errors.NotValidf("%q", s)
	}
	o.value = int(f)
	return nil
}

// memoryFlags are the settings that bound what a process holds for the peers of its connections.
type memoryFlags struct{ limit, connections optionalInt }

func (m *memoryFlags) add(f *pflag.FlagSet) {
	m.limit.value = defaultMemoryLimit
	f.Var(&m.limit, "memory-limit", "memory of the machine in megabytes, at least 64; requests and messages may hold a third of it; empty means the default")
	f.Var(&m.connections, "max-connections", "most connections at the main port, at least 16; other ports may have an eighth; 0 or empty means two fifths of the descriptors")
}

// check validates the settings.
func (m *memoryFlags) check(v *validator) {
	v.require(m.limit.value >= minMemoryLimit, "memory-limit", "%d is below %d", m.limit.value, minMemoryLimit)
	n := m.connections.value
	v.require(n == 0 || n >= minReserved, "max-connections", "%d is below %d", n, minReserved)
	v.require(n < usableDescriptors(), "max-connections", "%d is above the %d usable descriptors", n, usableDescriptors())
}

// account returns the process's account and sets the bounds that belong to the process as a whole.
func (m *memoryFlags) account(l log.Interface, metrics *expvar.Map) *account.Account {
	limit := int64(m.limit.value) << 20
	debug.SetMemoryLimit(limit / 4 * 3)
	fasthttp.SetBodySizePoolLimit(pooledBodyBytes, pooledBodyBytes)
	a := &account.Account{Limit: limit / heldDivisor, MaxConnections: m.connections.value, Clock: clockwork.NewRealClock(), Logger: l}
	if a.MaxConnections == 0 {
		a.MaxConnections = defaultMaxConnections()
	}
	a.Publish(metrics)
	return a
}

// usableDescriptors returns how many descriptors the process may have, without the reserve.
func usableDescriptors() int {
	const plenty = 1 << 20
	r := syscall.Rlimit{Cur: plenty}
	// An error means that no limit is known.
	_ = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r)
	n := int(min(r.Cur, plenty))
	return n - max(n/reservedDivisor, minReserved)
}

// defaultMaxConnections derives the most connections of a main port from the descriptors.
func defaultMaxConnections() int {
	return min(max(usableDescriptors()*connectionsNumerator/connectionsDivisor, minReserved), maxDefaultConnections)
}
