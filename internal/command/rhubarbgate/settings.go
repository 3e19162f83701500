package rhubarbgate

import (
	"crypto/ed25519"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	expvarmw "github.com/gofiber/fiber/v2/middleware/expvar"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// validator parses settings and collects one line for each invalid one, so that
// all of them are reported together.
type validator struct{ lines []string }

func (v *validator) err() error {
	if len(v.lines) == 0 {
		return nil
	}
	return &usageError{v.lines}
}

func (v *validator) fail(flag, format string, args ...any) {
	v.lines = append(v.lines, "--"+flag+": "+fmt.Sprintf(format, args...))
}

func (v *validator) require(ok bool, flag, format string, args ...any) {
	if !ok {
		v.fail(flag, format, args...)
	}
}

// address parses an IP address and port.
func (v *validator) address(flag, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		v.fail(flag, "%q is not an IP address and port", s)
	}
	return a
}

// addresses parses a list of addresses that are separated by commas.
func (v *validator) addresses(flag, s string) []netip.AddrPort {
	var r []netip.AddrPort
	for _, x := range strings.Split(s, ",") {
		r = append(r, v.address(flag, strings.TrimSpace(x)))
	}
	return r
}

// members parses a list of control hosts by ID, such as 1=10.0.0.1:7000,2=10.0.0.2:7000.
func (v *validator) members(flag, s string) map[uint64]netip.AddrPort {
	r := map[uint64]netip.AddrPort{}
	for _, x := range strings.Split(s, ",") {
		id, addr, ok := strings.Cut(strings.TrimSpace(x), "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if !ok || err != nil || n == 0 {
			v.fail(flag, "%q is not ID=IP:PORT with a positive ID", x)
			continue
		}
		r[n] = v.address(flag, addr)
	}
	return r
}

// operators reads the JSON file of the operators' public keys.
func (v *validator) operators(flag, path string) config.Operators {
	b, err := os.ReadFile(path)
	if err != nil {
		v.fail(flag, "%v", err)
		return config.Operators{}
	}
	var f operatorsFile
	if err := json.Unmarshal(b, &f); err != nil {
		v.fail(flag, "%s: %v", path, err)
		return config.Operators{}
	}
	o, err := f.operators()
	if err != nil {
		v.fail(flag, "%s: %v", path, err)
	}
	return o
}

// operatorsFile is the JSON form of the operators who may sign bundles: their
// public keys by name, and how many of them must sign a bundle.
type operatorsFile struct {
	Threshold int
	Keys      map[string][]byte
}

func (f operatorsFile) operators() (config.Operators, error) {
	o := config.Operators{Keys: map[string]ed25519.PublicKey{}, Threshold: f.Threshold}
	if f.Threshold < 1 || f.Threshold > len(f.Keys) {
		return o, errors.NotValidf("Threshold %d with %d keys", f.Threshold, len(f.Keys))
	}
	for name, k := range f.Keys {
		if len(k) != ed25519.PublicKeySize {
			return o, errors.NotValidf("key of operator %q", name)
		}
		o.Keys[name] = k
	}
	return o, nil
}

// tlsFlags are the settings of mutually authenticated TLS connections between the
// fleet's processes. A control host's listener for operators uses the certificate
// too, but operators authenticate by the credential.
type tlsFlags struct{ certificate, key, authority string }

func (t *tlsFlags) add(f *pflag.FlagSet) {
	f.StringVar(&t.certificate, "certificate", "", "file of this process's certificate (PEM), for TLS between the fleet's processes; empty means no TLS, which is allowed on loopback only; not used with --seeds or --target-list")
	f.StringVar(&t.key, "key", "", "file of the certificate's private key (PEM), with --certificate")
	f.StringVar(&t.authority, "authority", "", "file of the fleet authority's certificate (PEM), with --certificate")
}

// config returns the TLS configuration, or nil if no files are set, which is
// allowed only if all addresses in listen are on loopback.
func (t *tlsFlags) config(v *validator, listen ...netip.AddrPort) *tls.Config {
	reloader := t.certificates(v, listen...)
	if reloader == nil {
		return nil
	}
	return reloader.Config()
}

// certificates loads the files and reloads them when they change. It returns nil
// if none are set, which is allowed only if all addresses in listen are on
// loopback, or if a file is invalid, which v records.
func (t *tlsFlags) certificates(v *validator, listen ...netip.AddrPort) *reload.Reloader {
	set := 0
	for _, s := range []string{t.certificate, t.key, t.authority} {
		if s != "" {
			set++
		}
	}
	if set == 0 {
		for _, a := range listen {
			v.require(!a.IsValid() || a.Addr().IsLoopback(), "certificate", "is needed to listen on %v, which is not loopback", a)
		}
		return nil
	}
	if set < 3 {
		v.fail("certificate", "--certificate, --key and --authority go together")
		return nil
	}
	reloader, err := reload.New(reload.Files{Certificate: t.certificate, Key: t.key, Authority: t.authority}, clockwork.NewRealClock())
	if err != nil {
		v.fail("certificate", "%v", err)
		return nil
	}
	return reloader
}

// listen listens on a TCP address, with TLS unless c is nil. t counts the bytes of
// the connections; a nil t counts nothing.
func listen(a netip.AddrPort, c *tls.Config, t *wire.Traffic) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	l = t.Listener(l)
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return l, nil
}

const (
	// maxDebugBody bounds the body of a request for counters, which needs none.
	maxDebugBody = 4 << 10
	// debugTimeout bounds reading such a request, and how long its connection stays open unused.
	debugTimeout = time.Minute
)

// serveDebug serves the process's counters under /debug/vars until the process
// ends. An empty address serves nothing.
func serveDebug(address string, a *account.Account) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "--debug")
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true, ReduceMemoryUsage: true, BodyLimit: maxDebugBody, ReadTimeout: debugTimeout, IdleTimeout: debugTimeout})
	app.Use(expvarmw.New())
	l = a.Port("metrics", account.Requests, false).WithMaxBody(maxDebugBody).Listener(l)
	go func() { _ = app.Listener(l) }()
	return nil
}
