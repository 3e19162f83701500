package replica

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// startHosts runs n control hosts in this process until the test ends. It returns
// them and a client for them once job group 1 serves queries.
func startHosts(b testing.TB, n, maxBatch int) (*control.Client, []*Host) {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	members := map[uint64]netip.AddrPort{}
	var listeners []net.Listener
	for i := 1; i <= n; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, l)
		members[uint64(i)] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	c := &control.Client{Wire: wire.NewClient(nil), Clock: clock}
	var hosts []*Host
	var done sync.WaitGroup
	dir := b.TempDir()
	for i := 1; i <= n; i++ {
		id := uint64(i)
		h := &Host{
			ID: id, Data: filepath.Join(dir, fmt.Sprint(id)), Listen: members[id], Members: members, JobGroups: 1, MaxBatch: maxBatch,
			Listener: listeners[i-1], Clock: clock, Random: rand.New(rand.NewPCG(id, id)),
			Logger: &log.Logger{Handler: discard.New()}, Metrics: new(expvar.Map).Init(),
		}
		if err := h.Open(); err != nil {
			b.Fatal(err)
		}
		c.Hosts = append(c.Hosts, members[id])
		hosts = append(hosts, h)
		done.Go(func() { _ = h.Run(ctx) })
	}
	b.Cleanup(func() { cancel(); done.Wait() })
	ready, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	if _, err := c.Query(ready, &control.Query{Group: 1, List: new(int)}); err != nil {
		b.Fatal(err)
	}
	return c, hosts
}

// BenchmarkCommit measures commits of a small command on three hosts, with many
// commands in one disk sync (max-batch=0) and with one sync for each command.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{0, 1} {
		for _, writers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("max-batch=%d/writers=%d", batch, writers), func(b *testing.B) {
				c, _ := startHosts(b, 3, batch)
				b.ResetTimer()
				commitAll(b, c, writers)
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// commitAll commits b.N commands with the given number of concurrent writers.
func commitAll(b *testing.B, c *control.Client, writers int) {
	work := make(chan int)
	var g sync.WaitGroup
	for range writers {
		g.Go(func() {
			for i := range work {
				cmd := jobs.Command{CreateFile: &jobs.CreateFile{ID: fmt.Sprintf("file-%d", i), Workspace: "w"}}
				if _, err := c.Jobs(context.Background(), 1, cmd); err != nil {
					b.Error(err)
				}
			}
		})
	}
	for i := range b.N {
		work <- i
	}
	close(work)
	g.Wait()
}

// BenchmarkItems measures how fast three hosts accept batch items, and how fast
// they lease and complete them, in chunks as entries and sides send them.
func BenchmarkItems(b *testing.B) {
	const chunk = 2000
	line := []byte(`{"custom_id":"i0","method":"POST","url":"/v1/completions","body":{"model":"small","prompt":"a note of ordinary length for one booking","max_tokens":60}}`)
	c, _ := startHosts(b, 3, 0)
	ctx := context.Background()
	var acceptTime, completeTime time.Duration
	items := 0
	for round := 0; b.Loop(); round++ {
		id := fmt.Sprintf("file-%d", round)
		began := time.Now()
		mustPropose(b, c, jobs.Command{CreateFile: &jobs.CreateFile{ID: id, Workspace: "w"}})
		in := make([]jobs.ItemInput, chunk)
		for i := range in {
			in[i] = jobs.ItemInput{Needs: "m", Idempotent: true, Line: line}
		}
		mustPropose(b, c, jobs.Command{Append: &jobs.Append{File: id, Workspace: "w", Items: in}})
		mustPropose(b, c, jobs.Command{FinishFile: &jobs.FinishFile{File: id, Workspace: "w", Count: chunk}})
		mustPropose(b, c, jobs.Command{CreateJob: &jobs.CreateJob{ID: "job-" + id, Workspace: "w", File: id, Window: time.Hour}})
		acceptTime += time.Since(began)
		began = time.Now()
		runItems(ctx, b, c, chunk, line)
		completeTime += time.Since(began)
		items += chunk
	}
	b.ReportMetric(float64(items)/acceptTime.Seconds(), "accepted/s")
	b.ReportMetric(float64(items)/completeTime.Seconds(), "completed/s")
}

// mustPropose commits a command in job group 1.
func mustPropose(b testing.TB, c *control.Client, cmd jobs.Command) {
	if _, err := c.Jobs(context.Background(), 1, cmd); err != nil {
		b.Fatal(err)
	}
}

// runItems leases and completes n items with 8 concurrent sides.
func runItems(ctx context.Context, b *testing.B, c *control.Client, n int, line []byte) {
	const sides, batch = 8, 32
	var g sync.WaitGroup
	var mu sync.Mutex
	remaining := n
	for s := range sides {
		g.Go(func() {
			for {
				r, err := c.Lease(ctx, &control.Lease{Group: 1, Side: fmt.Sprint(s), Needs: []string{"m"}, Count: batch})
				if err != nil {
					b.Error(err)
					return
				}
				var out []jobs.Outcome
				for _, x := range r.Granted {
					out = append(out, jobs.Outcome{Ref: x.Ref, OK: true, Output: line})
				}
				if len(out) > 0 {
					mustPropose(b, c, jobs.Command{Complete: &jobs.Complete{Outcomes: out}})
				}
				mu.Lock()
				remaining -= len(out)
				finished := remaining <= 0
				mu.Unlock()
				if finished {
					return
				}
			}
		})
	}
	g.Wait()
}
