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

	"rhubarbgate.example/rhubarbgate/internal/http/target"
)

const (
	// hostListInterval is how often the platform's list is read.
	hostListInterval = time.Second
	// maxHostList bounds the list in bytes.
	maxHostList = 4 << 20
)

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Address netip.Addr
	// State is "live" or "leaving".
	State string
}

// HostList follows the platform's list of hosts. The list lags, so it only ever
// takes targets out; a host that it misses may be new.
type HostList struct {
	// Source is the platform's address; the list is at Path.
	Source netip.AddrPort
	Path   string
	Clock  clockwork.Clock
	Table  *Table
	// Failures counts reads that failed.
	Failures *expvar.Int
}

// Run reads the list until ctx ends.
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

func (l *HostList) read(ctx context.Context, c *target.Client) error {
	ctx, cancel := context.WithTimeout(ctx, hostListInterval)
	defer cancel()
	a, err := c.Do(ctx, &target.Request{Method: http.MethodGet, Path: l.Path, Idempotent: true})
	if err != nil {
		return errors.Trace(err)
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		return errors.Errorf("status %d", a.Status)
	}
	b, err := io.ReadAll(io.LimitReader(a, maxHostList))
	if err != nil {
		return errors.Trace(err)
	}
	var hosts []ListedHost
	if err := json.Unmarshal(b, &hosts); err != nil {
		return errors.Trace(err)
	}
	l.Table.SetLeaving(hosts)
	return nil
}

// SetLeaving takes the targets on hosts that the platform calls leaving out of
// the choice.
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
