package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// maxOrderTime bounds an order after the loss of a zone: leadership moves within seconds.
const maxOrderTime = 10 * time.Second

// zoneFleet is a set of control hosts in three availability zones, with the zones and the command line of each.
type zoneFleet struct {
	t         *testing.T
	dir       string
	client    *control.Client
	zones     []string
	arguments [][]string
	processes []*exec.Cmd
}

func newZoneFleet(t *testing.T, zones ...string) *zoneFleet {
	f := &zoneFleet{t: t, dir: t.TempDir(), zones: zones, processes: make([]*exec.Cmd, len(zones))}
	target := &platformtest.Target{Instance: "i", Service: platformtest.TargetService, Zone: "of targets", Slots: 1}
	qt.Assert(t, target.Start(), qt.IsNil)
	t.Cleanup(target.Close)
	list := &platformtest.List{Targets: []*platformtest.Target{target}}
	qt.Assert(t, list.Start(), qt.IsNil)
	t.Cleanup(list.Close)
	number := byte(fleetCount.Add(1))
	var hosts []netip.AddrPort
	var seeds []string
	for i := range zones {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(100 + os.Getpid()%100), number, byte(i + 1)}), testPort)
		hosts, seeds = append(hosts, a), append(seeds, a.String())
	}
	for i, zone := range zones {
		f.arguments = append(f.arguments, []string{
			"control", "--data", f.data(i), "--listen", seeds[i], "--operator", netip.AddrPortFrom(hosts[i].Addr(), testPort+1).String(),
			"--seeds", strings.Join(seeds, ","), "--fleet-port", fmt.Sprint(testPort), "--bootstrap=true", "--losses", "2",
			"--host-name", fmt.Sprint(i), "--availability-zone", zone, "--target-list", list.Address().String(), "--store-groups", "1",
		})
	}
	f.client = &control.Client{Wire: wire.NewClient(nil), Hosts: hosts, Clock: clockwork.NewRealClock()}
	t.Cleanup(func() { f.kill(f.all()...) })
	f.start(f.all()...)
	return f
}

func (f *zoneFleet) data(i int) string { return filepath.Join(f.dir, fmt.Sprint(i)) }

// all returns the indexes of all hosts.
func (f *zoneFleet) all() (r []int) {
	for i := range f.zones {
		r = append(r, i)
	}
	return r
}

func (f *zoneFleet) start(hosts ...int) {
	for _, i := range hosts {
		f.processes[i] = exec.Command(binary, f.arguments[i]...)
		qt.Assert(f.t, f.processes[i].Start(), qt.IsNil)
	}
}

// kill ends hosts as the loss of power does.
func (f *zoneFleet) kill(hosts ...int) {
	for _, i := range hosts {
		_ = f.processes[i].Process.Kill()
	}
	for _, i := range hosts {
		_ = f.processes[i].Wait()
	}
}

// awaitReplicas waits until every host has the same committed log under one leader, with five voters.
func (f *zoneFleet) awaitReplicas() {
	f.t.Helper()
	state := func() error {
		var first uint64
		for _, a := range f.client.Hosts {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			s, err := f.client.Status(ctx, a)
			cancel()
			if err != nil {
				return err
			}
			g := s.Groups[0]
			if g.Leader == 0 || g.Members.Voters() != len(f.zones) || len(g.Members) != len(f.zones) || first != 0 && g.Applied != first || g.Applied == 0 {
				return fmt.Errorf("%v: %+v", a, g)
			}
			if _, ok := g.Members.Find(s.ID); !ok {
				return fmt.Errorf("%v is no member", a)
			}
			first = g.Applied
		}
		return nil
	}
	err := state()
	for until := time.Now().Add(eventuallyTimeout); err != nil && time.Now().Before(until); err = state() {
		time.Sleep(100 * time.Millisecond)
	}
	qt.Assert(f.t, err, qt.IsNil)
}

// zone runs a zone command until it succeeds, and returns its output and how long that took.
func (f *zoneFleet) zone(args ...string) (string, time.Duration) {
	f.t.Helper()
	var hosts []string
	for _, a := range f.client.Hosts {
		hosts = append(hosts, a.String())
	}
	began := time.Now()
	for {
		out, err := exec.Command(binary, append(append([]string{"zone"}, args...), "--control", strings.Join(hosts, ","))...).CombinedOutput()
		if err == nil {
			return string(out), time.Since(began)
		}
		qt.Assert(f.t, time.Since(began) < eventuallyTimeout, qt.IsTrue, qt.Commentf("%s", out))
	}
}

// TestEvacuationsSurviveLosses guards against an acknowledged order that is lost, and against a fleet that
// accepts none, after the loss of any zone, of all power, and of two disks.
func TestEvacuationsSurviveLosses(t *testing.T) {
	c := qt.New(t)
	f := newZoneFleet(t, "a", "b", "a", "b", "c")
	f.zone("evacuate", "of targets")
	want := []string{"of targets"}
	check := func(version int) {
		t.Helper()
		out, _ := f.zone("list")
		c.Assert(out, qt.Equals, strings.Join(want, "\n")+fmt.Sprintf("\n%d zones are evacuated, version %d\n", len(want), version))
	}
	check(1)
	for n, zone := range []string{"a", "b", "c"} {
		f.awaitReplicas()
		var lost []int
		for i, z := range f.zones {
			if z == zone {
				lost = append(lost, i)
			}
		}
		f.kill(lost...)
		_, took := f.zone("evacuate", zone)
		c.Check(took < maxOrderTime, qt.IsTrue, qt.Commentf("zone %s: %v", zone, took))
		want = append(want, zone)
		slices.Sort(want)
		check(n + 2)
		f.start(lost...)
	}
	f.awaitReplicas()
	f.kill(f.all()...)
	f.start(f.all()...)
	check(4)
	f.zone("restore", "b")
	want = []string{"a", "c", "of targets"}
	f.awaitReplicas()
	f.kill(0, 1)
	for _, i := range []int{0, 1} {
		c.Assert(os.RemoveAll(f.data(i)), qt.IsNil)
	}
	check(5)
	f.start(0, 1)
	f.awaitReplicas()
	check(5)
}
