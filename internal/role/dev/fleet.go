// Package dev runs a small fleet and stand-in engines in one process, for development.
package dev

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"expvar"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/net/account"
	"rhubarbgate.example/rhubarbgate/internal/role/entry"
	"rhubarbgate.example/rhubarbgate/internal/role/replica"
	"rhubarbgate.example/rhubarbgate/internal/role/side"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/security/authority"
	"rhubarbgate.example/rhubarbgate/internal/security/reload"
	"rhubarbgate.example/rhubarbgate/internal/standin/engine"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

const (
	// engineCount is the number of stand-in engines; each has a side.
	engineCount = 2
	// availabilityZone is the availability zone of all roles.
	availabilityZone = "local"
	// modelName and routeName are the only model and route of the configuration.
	modelName = "small"
	routeName = "slips"
	// jobGroups is the number of replicated groups that keep batch jobs.
	jobGroups = 2
	// operatorName is the operator who signs the bundle with the configuration.
	operatorName = "dev"
	// certificateLifetime is longer than a development session. A restart issues
	// new certificates.
	certificateLifetime = 365 * 24 * time.Hour
	maxAge              = 4 * time.Second
	grace               = 10 * time.Second
	readyPollInterval   = 20 * time.Millisecond
	slots               = 32
)

// Fleet is a control host, an entry, and stand-in engines with their sides. Apart
// from Listen and Operator, all listeners are on loopback.
type Fleet struct {
	Listen     netip.AddrPort // listener for callers
	Operator   netip.AddrPort // listener for operators
	Data       string         // folder of the stored state; empty means a temporary one
	CallerKey  string         // key of the only caller
	Credential string         // credential that operators must send
	Logger     log.Interface
	Random     *mathrand.Rand
	// Account, if set, bounds what the process holds for others.
	Account *account.Account
	// Ready is called once the entry can serve requests; it may be nil.
	Ready func()

	clock       clockwork.Clock
	ca          *authority.KeyPair
	operatorKey ed25519.PrivateKey
	control     netip.AddrPort
	targets     []rhubarbgate.Target
	tasks       conc.WaitGroup
	failures    chan error
	stop        context.CancelFunc
	// infrastructureContext ends after the entry has stopped, so that the entry can
	// finish its requests.
	infrastructureContext context.Context
}

// Run starts the fleet and serves until ctx ends. It fails if the fleet is not
// ready within readyTimeout, or as soon as a part of it fails.
func (f *Fleet) Run(ctx context.Context, readyTimeout time.Duration) error {
	f.clock = clockwork.NewRealClock()
	f.failures = make(chan error, 16)
	f.infrastructureContext, f.stop = context.WithCancel(context.WithoutCancel(ctx))
	defer f.tasks.Wait()
	defer f.stop()
	if f.Data == "" {
		dir, err := os.MkdirTemp("", "rhubarbgate")
		if err != nil {
			return errors.Trace(err)
		}
		defer os.RemoveAll(dir)
		f.Data = dir
	}
	if err := os.MkdirAll(f.Data, 0o700); err != nil {
		return errors.Annotate(err, "data folder")
	}
	if err := f.prepare(); err != nil {
		return errors.Trace(err)
	}
	if err := f.start(); err != nil {
		return errors.Trace(err)
	}
	readyContext, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.configure(readyContext); err != nil {
		return errors.Trace(err)
	}
	return f.serve(ctx, readyContext)
}

// prepare creates the fleet's authority and loads the operator's key, or creates
// it. The key is stored in the data folder, so that its signatures on stored
// bundles stay valid after a restart.
func (f *Fleet) prepare() error {
	var err error
	if f.ca, err = authority.New(f.clock.Now(), certificateLifetime); err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(f.Data, "operator.seed")
	seed, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		seed = make([]byte, ed25519.SeedSize)
		_, _ = rand.Read(seed) // crypto/rand never returns an error; it ends the process instead
		err = os.WriteFile(path, seed, 0o600)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if len(seed) != ed25519.SeedSize {
		return errors.NotValidf("%s", path)
	}
	f.operatorKey = ed25519.NewKeyFromSeed(seed)
	return nil
}

// tls issues a certificate for a role and returns its TLS configuration.
func (f *Fleet) tls(r wire.Role) (*tls.Config, error) {
	p, err := f.ca.Issue(r, "dev-"+r.String(), f.clock.Now(), certificateLifetime)
	if err != nil {
		return nil, errors.Trace(err)
	}
	k, err := reload.NewStatic(p.Certificate, p.Key, f.ca.Certificate, f.clock)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return k.Config(), nil
}

// listen listens on a free loopback port, with TLS unless c is nil.
func listen(c *tls.Config) (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, errors.Trace(err)
	}
	a := l.Addr().(*net.TCPAddr).AddrPort()
	if c != nil {
		l = tls.NewListener(l, c)
	}
	return l, a, nil
}

// spawn runs a part of the fleet in a goroutine. If it fails, Run stops the fleet
// and returns the error.
func (f *Fleet) spawn(run func(context.Context) error) {
	f.tasks.Go(func() {
		if err := run(f.infrastructureContext); err != nil {
			f.failures <- err
		}
	})
}

func (f *Fleet) start() error {
	if err := f.startControl(); err != nil {
		return errors.Annotate(err, "control")
	}
	for i := range engineCount {
		if err := f.startTarget(i); err != nil {
			return errors.Annotatef(err, "target %d", i)
		}
	}
	return nil
}

func (f *Fleet) startControl() error {
	c, err := f.tls(wire.RoleControl)
	if err != nil {
		return errors.Trace(err)
	}
	l, a, err := listen(c)
	if err != nil {
		return errors.Trace(err)
	}
	f.control = a
	h := &replica.Host{
		ID: 1, Data: filepath.Join(f.Data, "control"), Listen: a, Members: map[uint64]netip.AddrPort{1: a},
		JobGroups: jobGroups, TLS: c, Listener: l, Account: f.Account, Clock: f.clock, Random: f.random(), Logger: f.Logger, Metrics: metrics("Control"),
		Operators: config.Operators{
			Keys:      map[string]ed25519.PublicKey{operatorName: f.operatorKey.Public().(ed25519.PublicKey)},
			Threshold: 1,
		},
	}
	if err := h.Open(); err != nil {
		return errors.Trace(err)
	}
	f.spawn(h.Run)
	return f.startOperator(h, c)
}

func (f *Fleet) startOperator(h *replica.Host, c *tls.Config) error {
	l, err := net.Listen("tcp", f.Operator.String())
	if err != nil {
		return errors.Trace(err)
	}
	o := &operator.Server{
		Credential: f.Credential, Source: h,
		Client: &control.Client{Wire: wire.NewClient(c), Hosts: []netip.AddrPort{f.control}, Clock: f.clock},
	}
	o.Prepare()
	f.spawn(func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = o.Close() })
		defer stop()
		return o.Serve(f.Account.Port("operators", account.Requests, false).WithMaxBody(operator.MaxBodyBytes).Listener(l))
	})
	return nil
}

func (f *Fleet) startTarget(i int) error {
	engineListener, engineAddress, err := listen(nil)
	if err != nil {
		return errors.Trace(err)
	}
	e := &engine.Engine{
		Clock: f.clock, StepBase: 20 * time.Millisecond, StepPerStream: 50 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond, Slots: slots, CacheBlocks: 4096,
	}
	f.spawn(func(ctx context.Context) error { return e.Run(ctx, engineListener) })
	c, err := f.tls(wire.RoleSide)
	if err != nil {
		return errors.Trace(err)
	}
	l, a, err := listen(c)
	if err != nil {
		return errors.Trace(err)
	}
	name := fmt.Sprintf("standin-%d", i)
	h := &side.Host{
		Name: name, Target: engineAddress, Listener: l, Account: f.Account, AvailabilityZone: availabilityZone,
		Parents: []netip.AddrPort{f.control}, Control: []netip.AddrPort{f.control}, Slots: slots, Batch: true,
		TLS: c, Clock: f.clock, Random: f.random(), Logger: f.Logger, Metrics: metrics("Side" + name),
		MaxAge: maxAge, Grace: grace,
	}
	f.targets = append(f.targets, rhubarbgate.Target{
		Name: name, Address: a, AvailabilityZone: availabilityZone, Models: []string{modelName}, Routes: []string{routeName}, Slots: slots,
	})
	f.spawn(h.Run)
	return nil
}

// configure commits a bundle with the configuration. Every start commits one,
// because the sides listen on new ports each time.
func (f *Fleet) configure(ctx context.Context) error {
	c, err := f.tls(wire.RoleOperator)
	if err != nil {
		return errors.Trace(err)
	}
	client := &control.Client{Wire: wire.NewClient(c), Hosts: []netip.AddrPort{f.control}, Clock: f.clock}
	base, err := f.versionInForce(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	b := rhubarbgate.Bundle{Base: base, Version: base + 1, Note: "development fleet", Put: f.section()}
	config.Sign(&b, operatorName, f.operatorKey)
	r, err := client.Commit(ctx, &control.Commit{Bundle: b})
	if err != nil {
		return errors.Trace(err)
	}
	if r.Result.Err != nil {
		return r.Result.Err
	}
	return nil
}

// versionInForce waits until the control host has confirmed its configuration
// within maxAge, which needs a leader, and returns the version in force.
func (f *Fleet) versionInForce(ctx context.Context) (uint64, error) {
	o := &operator.Client{Base: "http://" + f.Operator.String(), Credential: f.Credential}
	for {
		x, err := o.Configuration()
		if err == nil && x.Age < maxAge {
			return x.Version, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Annotate(ctx.Err(), "waiting for the control host")
		case err := <-f.failures:
			return 0, errors.Trace(err)
		case <-f.clock.After(readyPollInterval):
		}
	}
}

func (f *Fleet) section() rhubarbgate.Section {
	return rhubarbgate.Section{
		Workspaces: []rhubarbgate.Workspace{{Name: "dev", Rate: 1000, Burst: 1000}},
		Keys:       []rhubarbgate.Key{{Digest: config.KeyDigest(f.CallerKey), Workspace: "dev"}},
		Routes:     []rhubarbgate.Route{{Name: routeName}},
		Models:     []rhubarbgate.Model{{Name: modelName}},
		Targets:    f.targets,
		Objectives: []rhubarbgate.Objective{{Name: "online", Goal: 0.95, FirstToken: 1300 * time.Millisecond, BetweenTokens: 68 * time.Millisecond}},
	}
}

// serve runs the entry until ctx ends or a part of the fleet fails. It fails if
// the entry is not ready when readyContext ends.
func (f *Fleet) serve(ctx, readyContext context.Context) error {
	c, err := f.tls(wire.RoleEntry)
	if err != nil {
		return errors.Trace(err)
	}
	l, err := net.Listen("tcp", f.Listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	h := &entry.Host{
		Listener: f.Account.Port("callers", account.Streams, true).Listener(l), AvailabilityZone: availabilityZone, Parents: []netip.AddrPort{f.control}, Control: []netip.AddrPort{f.control},
		TLS: c, Clock: f.clock, Random: f.random(), Logger: f.Logger, Metrics: metrics("Entry"),
		MaxAge: maxAge, Grace: grace,
	}
	entryDone := make(chan error, 1)
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { entryDone <- h.Run(run) }()
	if err := f.awaitReady(readyContext, h); err != nil {
		cancel()
		<-entryDone
		return errors.Trace(err)
	}
	if f.Ready != nil {
		f.Ready()
	}
	select {
	case err = <-entryDone:
	case err = <-f.failures:
		cancel()
		<-entryDone
	}
	return errors.Trace(err)
}

// awaitReady waits until a target of the model has reported its load to the entry.
func (f *Fleet) awaitReady(ctx context.Context, h *entry.Host) error {
	for !h.ServesModel(modelName) {
		select {
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for the entry")
		case err := <-f.failures:
			return errors.Trace(err)
		case <-f.clock.After(readyPollInterval):
		}
	}
	return nil
}

// random returns a generator seeded from f.Random, as one is not safe for
// concurrent use by several roles.
func (f *Fleet) random() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(f.Random.Uint64(), f.Random.Uint64()))
}

// metrics returns a map of counters. Only the first map of a name is published in
// a process, as expvar panics on a repeated name; a test may start several fleets.
func metrics(name string) *expvar.Map {
	if expvar.Get(name) == nil {
		return expvar.NewMap(name)
	}
	return new(expvar.Map).Init()
}
