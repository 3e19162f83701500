package configuration

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// section returns a full configuration of n workspaces with a key each, and a
// target for every second workspace.
func section(n int) rhubarbgate.Section {
	s := rhubarbgate.Section{Models: []rhubarbgate.Model{{Name: "small"}}}
	for i := range n {
		name := fmt.Sprintf("workspace-%d", i)
		s.Workspaces = append(s.Workspaces, rhubarbgate.Workspace{Name: name, Rate: 10, Burst: 20})
		s.Keys = append(s.Keys, rhubarbgate.Key{Digest: config.KeyDigest(name), Workspace: name})
		if i%2 == 0 {
			s.Targets = append(s.Targets, rhubarbgate.Target{Name: name, Address: netip.MustParseAddrPort("10.0.0.1:7100"), Slots: 32, Models: []string{"small"}})
		}
	}
	return s
}

var workspaceCounts = []int{1000, 4000, 14000}

// BenchmarkChange measures how a daemon applies a bundle that changes one workspace.
func BenchmarkChange(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			c := config.FromSection(1, nil, section(n))
			for i := 0; b.Loop(); i++ {
				x := &rhubarbgate.Bundle{Base: c.Version, Version: c.Version + 1}
				x.Put.Workspaces = []rhubarbgate.Workspace{{Name: "workspace-7", Rate: float64(i), Burst: 20}}
				next, err := c.With(x)
				if err != nil {
					b.Fatal(err)
				}
				c = next
			}
		})
	}
}

// BenchmarkMemory measures the heap that one configuration keeps.
func BenchmarkMemory(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := config.FromSection(1, nil, section(n))
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/workspace")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkPoll measures a poll and its reply without a change over plain TCP on the
// loopback interface. Time and memory are those of both ends, wire-bytes/op are
// those of the polling end.
func BenchmarkPoll(b *testing.B) {
	clock := clockwork.NewRealClock()
	w := &Watcher{Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logger: log.Log, Failures: new(expvar.Int)}
	s := section(1000)
	c := config.FromSection(1, []byte("digest"), s)
	w.ApplyReply(&control.PollReply{Version: 1, Section: &s, Sum: c.Sum, Groups: 3}, clock.Now())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	mux := wire.NewMux()
	Register(mux, w, clock)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = mux.Serve(ctx, l) }()
	client := wire.NewClient(nil)
	client.Traffic = wire.NewTraffic(new(expvar.Map).Init())
	address := l.Addr().(*net.TCPAddr).AddrPort()
	for b.Loop() {
		if _, err := wire.Call[control.PollReply](ctx, client, address, control.MethodPoll, &control.Poll{Version: 1}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(client.Traffic.Sent.Value()+client.Traffic.Received.Value())/float64(b.N), "wire-bytes/op")
}

// BenchmarkSnapshot measures how a starting daemon decodes and applies a full configuration.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			s := section(n)
			r := &control.PollReply{Version: 1, Section: &s}
			r.Sum = config.FromSection(1, nil, s).Sum
			data, err := wire.Marshal(r)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var x control.PollReply
				if err := wire.Unmarshal(data, &x); err != nil {
					b.Fatal(err)
				}
				w := &Watcher{Logger: log.Log}
				w.ApplyReply(&x, time.Time{})
			}
			b.ReportMetric(float64(len(data))/float64(n), "bytes/workspace")
		})
	}
}
