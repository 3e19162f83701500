package side

import (
	"expvar"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/controller/configuration"
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
