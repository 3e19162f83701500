package reload

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/security/authority"
)

type message struct{ Text string }

// startServer serves /control/Secret to control hosts, and /echo to control hosts and
// entries. Both reply with the role and name of the peer.
func startServer(t *testing.T, c *tls.Config) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	m := wire.NewMux()
	echo := func(ctx context.Context, w *message) (*message, error) {
		return &message{wire.PeerFrom(ctx).Role.String() + " " + wire.PeerFrom(ctx).Name}, nil
	}
	wire.Unary(m, "/control/Secret", wire.Controls, echo)
	wire.Unary(m, "/echo", []wire.Role{wire.RoleEntry, wire.RoleControl}, echo)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Serve(ctx, tls.NewListener(l, c))
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l.Addr().(*net.TCPAddr).AddrPort()
}

func writeFiles(t *testing.T, dir, name string, p *authority.KeyPair) Files {
	f := Files{Certificate: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), Authority: filepath.Join(dir, "ca.crt")}
	qt.Assert(t, os.WriteFile(f.Certificate, p.Certificate, 0o600), qt.IsNil)
	qt.Assert(t, os.WriteFile(f.Key, p.Key, 0o600), qt.IsNil)
	return f
}

func issue(t *testing.T, ca *authority.KeyPair, r wire.Role, name string, lifetime time.Duration) *authority.KeyPair {
	p, err := ca.Issue(r, name, time.Now(), lifetime)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// TestRoleCheckAndCertificateRenewal guards against a peer that calls a method that is
// not allowed for its role, and against a process that keeps using its old certificate
// after the files were renewed.
func TestRoleCheckAndCertificateRenewal(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	ca, err := authority.New(time.Now(), time.Hour)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(dir, "ca.crt"), ca.Certificate, 0o600), qt.IsNil)
	clock := clockwork.NewFakeClockAt(time.Now())
	server, err := New(writeFiles(t, dir, "control", issue(t, ca, wire.RoleControl, "control", time.Hour)), clock)
	c.Assert(err, qt.IsNil)
	address := startServer(t, server.Config())
	reloader, err := New(writeFiles(t, dir, "entry", issue(t, ca, wire.RoleEntry, "old", time.Hour)), clock)
	c.Assert(err, qt.IsNil)
	call := func(method string) (string, error) {
		client := wire.NewClient(reloader.Config())
		defer client.Close()
		w, err := wire.Call[message](context.Background(), client, address, method, &message{})
		if err != nil {
			return "", err
		}
		return w.Text, nil
	}
	got, err := call("/echo")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "Entry old")
	_, err = call("/control/Secret")
	c.Assert(err, qt.ErrorMatches, `.*to role Entry.*`)
	// A renewed certificate is loaded without a restart.
	writeFiles(t, dir, "entry", issue(t, ca, wire.RoleEntry, "new", time.Hour))
	future := time.Now().Add(time.Minute)
	c.Assert(os.Chtimes(filepath.Join(dir, "entry.crt"), future, future), qt.IsNil)
	clock.Advance(2 * checkInterval)
	got, err = call("/echo")
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "Entry new")
}

// TestUntrustedPeersAreRefused guards against peers that reach a method with no valid
// certificate of the fleet's authority. Go's own chain verification is off, so only
// VerifyConnection refuses an expired certificate or one of another authority.
func TestUntrustedPeersAreRefused(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClockAt(time.Now())
	ca, err := authority.New(time.Now(), time.Hour)
	c.Assert(err, qt.IsNil)
	other, err := authority.New(time.Now(), time.Hour)
	c.Assert(err, qt.IsNil)
	staticConfig := func(p, root *authority.KeyPair) *tls.Config {
		r, err := NewStatic(p.Certificate, p.Key, root.Certificate, clock)
		c.Assert(err, qt.IsNil)
		return r.Config()
	}
	address := startServer(t, staticConfig(issue(t, ca, wire.RoleControl, "control", time.Hour), ca))
	tests := []struct {
		name   string
		config *tls.Config
	}{
		{"another authority", staticConfig(issue(t, other, wire.RoleEntry, "x", time.Hour), ca)},
		{"expired", staticConfig(issue(t, ca, wire.RoleEntry, "x", -time.Minute), ca)},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}},
		{"plain TCP", nil},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			client := wire.NewClient(x.config)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := wire.Call[message](ctx, client, address, "/echo", &message{})
			qt.Assert(t, rhubarbgate.HasCode(err, rhubarbgate.CodeUnavailable), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
