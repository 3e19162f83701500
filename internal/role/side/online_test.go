package side

import (
	"context"
	"expvar"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
	"rhubarbgate.example/rhubarbgate/internal/controller/gatekeeper"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/policy/gate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/side"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// setConfig passes a configuration with the given keys of workspace w to the watcher.
func setConfig(w *configuration.Watcher, version uint64, sent time.Time, keys ...string) {
	s := rhubarbgate.Section{Workspaces: []rhubarbgate.Workspace{{Name: "w", Rate: 1, Burst: 1}}}
	for _, k := range keys {
		s.Keys = append(s.Keys, rhubarbgate.Key{Digest: config.KeyDigest(k), Workspace: "w"})
	}
	w.ApplyReply(&control.PollReply{Version: version, Section: &s, Sum: config.FromSection(version, nil, s).Sum, Groups: 1}, sent)
}

// TestKeyIsCheckedAgainWhenWorkStarts guards against running a request whose key was
// withdrawn while it was queued, or whose key the side cannot check because its
// configuration is stale. A key that only a newer configuration has must pass.
func TestKeyIsCheckedAgainWhenWorkStarts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &configuration.Watcher{Clock: clock, Logger: &log.Logger{Handler: discard.New()}, Failures: new(expvar.Int)}
	h := &Host{Name: "t", Clock: clock, MaxAge: 4 * time.Second, watcher: w}
	setConfig(w, 5, clock.Now(), "kept")
	tests := []struct {
		name    string
		key     string
		version uint64
		wait    time.Duration
		code    rhubarbgate.Code
		refused bool
	}{
		{"kept", "kept", 5, 0, 0, false},
		{"withdrawn while queued", "gone", 5, 0, rhubarbgate.CodeUnauthorized, true},
		{"withdrawn, admitted by an older version", "gone", 4, 0, rhubarbgate.CodeUnauthorized, true},
		{"given by a version that this side lacks", "new", 6, 0, 0, false},
		{"configuration too old", "kept", 5, 5 * time.Second, rhubarbgate.CodeStale, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			clock.Advance(x.wait)
			s := &onlineAttempt{host: h, request: &side.Request{Workspace: "w", KeyDigest: config.KeyDigest(x.key), ConfigVersion: x.version}}
			err := s.authorize()
			qt.Assert(t, err != nil, qt.Equals, x.refused, qt.Commentf("%v", err))
			if err != nil {
				qt.Assert(t, err.Code, qt.Equals, x.code)
				qt.Assert(t, err.Verdict, qt.Equals, rhubarbgate.NotRun)
			}
		})
	}
}

// TestRequestAwaitsTheFirstConfirmation guards against refusing requests at a side that has just
// started and cannot know its configuration yet. Later, a stale side must refuse them at once.
func TestRequestAwaitsTheFirstConfirmation(t *testing.T) {
	tests := []struct {
		name      string
		age       time.Duration // of the side
		waits     bool
		confirmed bool // while the request waits
		code      rhubarbgate.Code
	}{
		{"just started", 0, true, true, rhubarbgate.CodeUpstream}, // no target listens
		{"never confirmed", 0, true, false, rhubarbgate.CodeStale},
		{"started long ago", time.Minute, false, false, rhubarbgate.CodeStale},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			clock, logger := clockwork.NewFakeClock(), &log.Logger{Handler: discard.New()}
			h := &Host{
				Name: "t", Clock: clock, Logger: logger, MaxAge: 4 * time.Second, startedAt: clock.Now().Add(-x.age),
				watcher:      &configuration.Watcher{Clock: clock, Logger: logger, Failures: new(expvar.Int)},
				keeper:       &gatekeeper.Gatekeeper{Clock: clock, Gate: &gate.FirstCome{Clock: clock, Slots: 1}},
				targetClient: &target.Client{Address: netip.MustParseAddrPort("127.0.0.1:1"), Clock: clock},
			}
			h.keeper.Start()
			s := &onlineAttempt{host: h, request: &side.Request{Workspace: "w", KeyDigest: config.KeyDigest("kept")}, deadline: clock.Now().Add(time.Minute)}
			served := make(chan *rhubarbgate.Error, 1)
			go func() { served <- s.serve(t.Context()) }()
			if x.waits {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				c.Assert(clock.BlockUntilContext(ctx, 2), qt.IsNil) // the timeout and the interval
				if x.confirmed {
					setConfig(h.watcher, 5, clock.Now(), "kept")
				}
				clock.Advance(maxStartWait)
			}
			err := <-served
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Code, qt.Equals, x.code, qt.Commentf("%v", err))
			c.Assert(err.Verdict, qt.Equals, rhubarbgate.NotRun)
		})
	}
}
