package targets

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
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

// newTable returns a started table of targets that serve the model m, named after
// their addresses. No side answers there.
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

// candidateNames returns the names of candidates in order.
func candidateNames(c []rhubarbgate.Candidate) []string {
	var r []string
	for _, x := range c {
		r = append(r, x.Name)
	}
	return r
}

// startHostList serves the body as the platform's list of hosts and returns its reader and a
// client for it.
func startHostList(t *testing.T, table *Table, body *string) (*HostList, *target.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, *body) }))
	}()
	list := &HostList{Source: l.Addr().(*net.TCPAddr).AddrPort(), Path: "/hosts", Table: table, Unreadable: new(expvar.Int)}
	client := &target.Client{Address: list.Source}
	t.Cleanup(client.CloseIdle)
	return list, client
}

// TestPlatformListExcludesLeavingHosts guards against requests to a target whose host
// is leaving, and against the loss of others: a target whose host the list lacks
// stays, and a list that cannot be decoded changes nothing.
func TestPlatformListExcludesLeavingHosts(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, "127.0.0.2:1", "127.0.0.3:1")
	body := `[{"Address":"127.0.0.2","State":"leaving"},{"Address":"127.0.0.9","State":"live"}]`
	list, client := startHostList(t, table, &body)
	c.Assert(list.read(context.Background(), client), qt.IsNil)
	// The list lacks the host of the other target, which may be new.
	c.Assert(candidateNames(table.Candidates("m", "", nil)), qt.DeepEquals, []string{"127.0.0.3:1"})
	body = `not JSON`
	c.Assert(list.read(context.Background(), client), qt.IsNotNil)
	c.Assert(candidateNames(table.Candidates("m", "", nil)), qt.DeepEquals, []string{"127.0.0.3:1"})
}

// TestOddEntriesInTheHostList guards against requests to a target whose host is leaving because
// another entry of the list is odd, and against taking a list without entries for one that names
// no leaving host.
func TestOddEntriesInTheHostList(t *testing.T) {
	c := qt.New(t)
	table := newTable(t, "127.0.0.2:1", "127.0.0.3:1")
	body := ""
	list, client := startHostList(t, table, &body)
	for _, odd := range []string{
		`null`, `5`, `{}`, `{"Address":5,"State":"leaving"}`, `{"Address":"127.0.0.300","State":"leaving"}`, `{"Address":"127.0.0.3","State":1e400}`,
		`{"Address":"127.0.0.3"`, `{"Address":"127.0.0.3","State":"lea`, strings.Repeat("[", 20_000), strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	} {
		for _, format := range []string{"[%s]", `[%s,{"Address":"127.0.0.2","State":"leaving"}]`, `[{"Address":"127.0.0.2","State":"leaving"},%s]`} {
			body = fmt.Sprintf(format, odd)
			unreadable := list.Unreadable.Value()
			c.Check(list.read(context.Background(), client), qt.IsNil, qt.Commentf("%.60s", body))
			c.Check(list.Unreadable.Value() > unreadable, qt.IsTrue, qt.Commentf("%.60s", body))
			want := []string{"127.0.0.3:1"}
			if format == "[%s]" {
				want = []string{"127.0.0.2:1", "127.0.0.3:1"}
			}
			c.Check(candidateNames(table.Candidates("m", "", nil)), qt.ContentEquals, want, qt.Commentf("%.60s", body))
		}
	}
	for _, body = range []string{`not JSON`, `null`, `[{"Address":"127.0.0.2","State":"live"}`, `{}`, ``} {
		c.Check(list.read(context.Background(), client), qt.IsNotNil, qt.Commentf("%s", body))
	}
}

// TestTriedTargetsAreNotChosenAgain guards against a retry at a target that already
// got the request, and against candidates for a model that no target serves.
func TestTriedTargetsAreNotChosenAgain(t *testing.T) {
	table := newTable(t, "127.0.0.2:1", "127.0.0.3:1")
	got := table.Candidates("m", "", map[string]bool{"127.0.0.2:1": true})
	qt.Assert(t, candidateNames(got), qt.DeepEquals, []string{"127.0.0.3:1"})
	qt.Assert(t, table.Candidates("other", "", nil), qt.HasLen, 0)
}
