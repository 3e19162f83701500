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

	"github.com/gofiber/fiber/v2"
	expvarmw "github.com/gofiber/fiber/v2/middleware/expvar"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// checks collects one line for each bad setting.
type checks struct{ lines []string }

func (c *checks) err() error {
	if len(c.lines) == 0 {
		return nil
	}
	return &errUsage{c.lines}
}

func (c *checks) fail(flag, format string, args ...any) {
	c.lines = append(c.lines, "--"+flag+": "+fmt.Sprintf(format, args...))
}

func (c *checks) that(ok bool, flag, format string, args ...any) {
	if !ok {
		c.fail(flag, format, args...)
	}
}

// address reads an IP address and port.
func (c *checks) address(flag, s string) netip.AddrPort {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		c.fail(flag, "%q is not an IP address and port", s)
	}
	return a
}

// addresses reads a list separated by commas.
func (c *checks) addresses(flag, s string) []netip.AddrPort {
	var r []netip.AddrPort
	for _, x := range strings.Split(s, ",") {
		r = append(r, c.address(flag, strings.TrimSpace(x)))
	}
	return r
}

// members reads a list such as 1=10.0.0.1:7000,2=10.0.0.2:7000.
func (c *checks) members(flag, s string) map[uint64]netip.AddrPort {
	r := map[uint64]netip.AddrPort{}
	for _, x := range strings.Split(s, ",") {
		id, addr, ok := strings.Cut(strings.TrimSpace(x), "=")
		n, err := strconv.ParseUint(id, 10, 64)
		if !ok || err != nil || n == 0 {
			c.fail(flag, "%q is not ID=IP:PORT with a positive ID", x)
			continue
		}
		r[n] = c.address(flag, addr)
	}
	return r
}

// operators reads the file of operators' public keys.
func (c *checks) operators(flag, path string) config.Operators {
	b, err := os.ReadFile(path)
	if err != nil {
		c.fail(flag, "%v", err)
		return config.Operators{}
	}
	var f operatorsFile
	if err := json.Unmarshal(b, &f); err != nil {
		c.fail(flag, "%s: %v", path, err)
		return config.Operators{}
	}
	o, err := f.operators()
	if err != nil {
		c.fail(flag, "%s: %v", path, err)
	}
	return o
}

// operatorsFile lists who may sign bundles.
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

// tlsFlags are the settings of mutually authenticated connections.
type tlsFlags struct{ certificate, key, authority string }

func (t *tlsFlags) add(f *pflag.FlagSet) {
	f.StringVar(&t.certificate, "certificate", "", "file of this process's certificate (PEM)")
	f.StringVar(&t.key, "key", "", "file of the certificate's private key (PEM)")
	f.StringVar(&t.authority, "authority", "", "file of the fleet authority's certificate (PEM)")
}

// config returns nil if no files are set; that is allowed on loopback only.
func (t *tlsFlags) config(c *checks, listen ...netip.AddrPort) *tls.Config {
	k := t.keeper(c, listen...)
	if k == nil {
		return nil
	}
	return k.Config()
}

// keeper returns the keeper of the files, or nil if none are set.
func (t *tlsFlags) keeper(c *checks, listen ...netip.AddrPort) *reload.Reloader {
	set := 0
	for _, s := range []string{t.certificate, t.key, t.authority} {
		if s != "" {
			set++
		}
	}
	if set == 0 {
		for _, a := range listen {
			c.that(!a.IsValid() || a.Addr().IsLoopback(), "certificate", "is needed to listen on %v, which is not loopback", a)
		}
		return nil
	}
	if set < 3 {
		c.fail("certificate", "--certificate, --key and --authority go together")
		return nil
	}
	k, err := reload.New(reload.Files{Certificate: t.certificate, Key: t.key, Authority: t.authority}, clockwork.NewRealClock())
	if err != nil {
		c.fail("certificate", "%v", err)
		return nil
	}
	return k
}

// listen opens a TCP port, with TLS if it is configured. A nil t counts nothing.
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

// serveDebug serves the counters under /debug/vars until the process ends.
func serveDebug(address string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "--debug")
	}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Use(expvarmw.New())
	go func() { _ = app.Listener(l) }()
	return nil
}
