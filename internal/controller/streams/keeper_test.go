package streams

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// followed returns a history of lists with these versions of the service s, one a second.
func followed(clock *clockwork.FakeClock, start time.Time, lists string) *versions.History {
	h := &versions.History{Clock: clock}
	for i, v := range lists {
		h.Observe([]rhubarbgate.Instance{{Service: "s", Version: string(v)}}, start.Add(time.Duration(i)*time.Second))
	}
	return h
}

// TestFindWithoutARecord guards against continuing a stream at a version that did not begin it when
// control hosts lost their records, know less than the process that asks, or do not reply; and at an entry that was
// cut off or suspended while targets of another version joined, which other entries sent streams.
func TestFindWithoutARecord(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		name  string
		hosts []string // lists that each control host followed
		own   string
		// now is the list as the platform has it when the process reads it, a space if it cannot.
		now  string
		want Source
	}{
		{"one version", []string{"aaaaaaaaaaaa", "aaaaaaaaaaaa"}, "aaaaaaaaaaaa", " ", OnlyVersion},
		{"one host is new", []string{"aaaaaaaaaaaa", "          aa"}, "aaaaaaaaaaaa", " ", OnlyVersion},
		{"all hosts are new, this process is not", []string{"          aa"}, "aaaaaaaaaaaa", " ", OnlyVersion},
		{"all are new", []string{"          aa"}, "         aaa", " ", Unknown},
		{"two versions", []string{"aaaaaaaaaaab"}, "aaaaaaaaaaaa", " ", Unknown},
		{"this process knows of another", []string{"aaaaaaaaaaaa"}, "aaaaaaaaaaab", " ", Unknown},
		{"one host knows of another", []string{"aaaaaaaaaaaa", "aaaaaaaaaaab"}, "aaaaaaaaaaaa", " ", Unknown},
		{"no host replies", nil, "aaaaaaaaaaaa", "a", OnlyVersionHere},
		{"no host replies, two versions", nil, "aaaaabbbbbbb", "b", Unknown},
		{"no host replies, another version has joined", nil, "aaaaaaaaaaaa", "ab", Unknown},
		{"no host replies, the list cannot be read", nil, "aaaaaaaaaaaa", " ", Unknown},
		{"one of three replies, another version has joined", []string{"aaaaaaaaaaaa", "", ""}, "aaaaaaaaaaaa", "ab", Unknown},
		{"one of three replies", []string{"aaaaaaaaaaaa", "", ""}, "aaaaaaaaaaaa", "a", OnlyVersionHere},
		{"two of three reply", []string{"aaaaaaaaaaaa", "aaaaaaaaaaaa", ""}, "aaaaaaaaaaaa", " ", OnlyVersion},
		{"the hosts' lists are old, another version has joined", []string{"aaaaaaaa", "aaaaaaaa"}, "aaaaaaaaaaaa", "ab", Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			clock.Advance(11*time.Second + 500*time.Millisecond)
			history := func(lists string) *versions.History {
				known := strings.TrimLeft(lists, " ")
				return followed(clock, start.Add(time.Duration(len(lists)-len(known))*time.Second), known) // a list that ends early is old
			}
			k := NewKeeper(wire.NewClient(nil), clock, history(test.own), new(expvar.Map).Init())
			var hosts []netip.AddrPort
			for _, lists := range test.hosts {
				if lists == "" {
					hosts = append(hosts, netip.MustParseAddrPort("127.0.0.1:1"))
					continue
				}
				hosts = append(hosts, serve(t, &Memory{Clock: clock, History: history(lists)}))
			}
			k.SetHosts(hosts)
			k.Refresh = func(context.Context) {
				var list []rhubarbgate.Instance
				for _, v := range strings.TrimSpace(test.now) {
					list = append(list, rhubarbgate.Instance{Service: "s", Version: string(v)})
				}
				if len(list) > 0 {
					k.History.Observe(list, clock.Now())
				}
			}
			qt.Assert(t, k.Find(context.Background(), "unknown", []string{"s"}, window).Source, qt.Equals, test.want)
		})
	}
}

// serve serves a Memory as a control host does.
func serve(t *testing.T, m *Memory) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	mux := wire.NewMux()
	wire.Unary(mux, control.MethodStreams, wire.Daemons, m.Handle)
	go func() { _ = mux.Serve(ctx, l) }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestRecordsOutliveOneHost guards against streams that cannot go on because one control host, or
// the entry that began them, is gone.
func TestRecordsOutliveOneHost(t *testing.T) {
	clock := clockwork.NewRealClock()
	list := &versions.History{Clock: clock}
	kept, lost := &Memory{Clock: clock, History: list}, &Memory{Clock: clock, History: list}
	hosts := []netip.AddrPort{serve(t, kept), netip.MustParseAddrPort("127.0.0.1:1")}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	began := NewKeeper(wire.NewClient(nil), clock, list, new(expvar.Map).Init())
	began.SetHosts(hosts)
	go began.Run(ctx)
	record := control.StreamRecord{Stream: "w h r1", Service: "s", Version: "b", Listed: true, Instance: "i"}
	began.Record(record, time.Second)
	for i := 0; kept.Len() == 0 && i < 500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	began.Record(control.StreamRecord{Stream: strings.Repeat("x", maxNameBytes+1), Service: "s"}, time.Second)
	qt.Assert(t, began.Dropped.Value(), qt.Equals, int64(1))
	other := NewKeeper(wire.NewClient(nil), clock, list, new(expvar.Map).Init())
	other.SetHosts([]netip.AddrPort{serve(t, lost), hosts[0], hosts[1]})
	o := other.Find(ctx, "w h r1", []string{"s"}, time.Second)
	qt.Assert(t, o.Source, qt.Equals, Recorded)
	qt.Assert(t, o.Record, qt.Equals, record)
	qt.Assert(t, other.Find(ctx, "w h r2", []string{"s"}, time.Second).Source, qt.Equals, Unknown)
}
