package targets

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/http/listing"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

const (
	// hostListInterval is the time between two requests for the platform's list, and
	// the timeout of each.
	hostListInterval = time.Second
	// maxHostListBytes bounds how much of a response is read.
	maxHostListBytes = 16 << 20
)

// ListedHost is one element of the platform's list of hosts.
type ListedHost struct {
	Address netip.Addr
	// State is "live" or "leaving".
	State string
}

// HostList reads the platform's list of hosts periodically. The list lags, so it
// only excludes targets on hosts that it names as leaving; a host that it lacks may
// be new.
type HostList struct {
	// Source is the platform's address; the list is served at Path.
	Source netip.AddrPort
	Path   string
	Clock  clockwork.Clock
	Table  *Table
	// Failures counts failed reads of the list, Unreadable its elements that were skipped.
	Failures, Unreadable *expvar.Int
}

// Run reads the list every hostListInterval until ctx ends. A failed read keeps the
// previous list.
func (l *HostList) Run(ctx context.Context) {
	c := &target.Client{Address: l.Source}
	defer c.CloseIdle()
	t := l.Clock.NewTicker(hostListInterval)
	defer t.Stop()
	for {
		if err := l.read(ctx, c); err != nil {
			l.Failures.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
	}
}

// read reads the list once and passes it to the table.
func (l *HostList) read(ctx context.Context, c *target.Client) error {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	response, err := c.Do(ctx, &target.Request{Method: http.MethodGet, Path: l.Path, Idempotent: true})
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return errors.Errorf("status %d", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response, maxHostListBytes))
	if err != nil {
		return errors.Trace(err)
	}
	p, err := listing.Parse(body, "")
	if err != nil {
		return errors.Trace(err)
	}
	l.Unreadable.Add(int64(p.Damaged))
	var hosts []ListedHost
	for _, raw := range p.Entries {
		var x ListedHost
		if json.Unmarshal(raw, &x) != nil || !x.Address.IsValid() {
			l.Unreadable.Add(1)
			continue
		}
		hosts = append(hosts, x)
	}
	l.Table.SetLeaving(hosts)
	return nil
}

// SetLeaving excludes the targets on hosts that are leaving according to the list
// from the candidates, and admits all others again.
func (t *Table) SetLeaving(hosts []ListedHost) {
	leaving := map[netip.Addr]bool{}
	for _, h := range hosts {
		if h.State == "leaving" {
			leaving[h.Address] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}
