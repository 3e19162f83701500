package targets

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

func newTable(t *testing.T, addresses ...string) *Table {
	s := rhubarbgate.Section{Models: []rhubarbgate.Model{{Name: "m"}}}
	for _, a := range addresses {
		s.Targets = append(s.Targets, rhubarbgate.Target{Name: a, Address: netip.MustParseAddrPort(a), Slots: 1, Models: []string{"m"}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	x := &Table{Wire: wire.NewClient(nil), Clock: clockwork.NewFakeClock(), Logger: &log.Logger{Handler: discard.New()}, Ejections: new(expvar.Int)}
	x.Start(ctx)
	x.Update(config.FromSection(1, nil, s))
	t.Cleanup(func() { cancel(); x.Run(ctx) })
	return x
}

func names(c []rhubarbgate.Candidate) []string {
	var r []string
	for _, x := range c {
		r = append(r, x.Name)
	}
	return r
}

func TestPlatformListTakesTargetsOut(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, "127.0.0.2:1", "127.0.0.3:1")
	body := `[{"Address":"127.0.0.2","State":"leaving"},{"Address":"127.0.0.9","State":"live"}]`
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	}()
	list := &HostList{Source: l.Addr().(*net.TCPAddr).AddrPort(), Path: "/hosts", Table: table}
	client := &target.Client{Address: list.Source}
	defer client.CloseIdle()
	c.Assert(list.read(context.Background(), client), qt.IsNil)
	// The target that the list does not know yet stays.
	c.Assert(names(table.Candidates("m", "", nil)), qt.DeepEquals, []string{"127.0.0.3:1"})
	body = `not JSON`
	c.Assert(list.read(context.Background(), client), qt.IsNotNil)
	c.Assert(names(table.Candidates("m", "", nil)), qt.DeepEquals, []string{"127.0.0.3:1"})
}

func TestTriedTargetsAreNotChosenAgain(t *testing.T) {
	table := newTable(t, "127.0.0.2:1", "127.0.0.3:1")
	got := table.Candidates("m", "", map[string]bool{"127.0.0.2:1": true})
	qt.Assert(t, names(got), qt.DeepEquals, []string{"127.0.0.3:1"})
	qt.Assert(t, table.Candidates("other", "", nil), qt.HasLen, 0)
}
