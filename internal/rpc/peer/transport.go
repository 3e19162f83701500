// Package peer carries the messages of replicas between control hosts.
package peer

import (
	"context"
	"expvar"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// MethodStep is the name of the method that takes messages.
const MethodStep = "/peer/Step"

const (
	// queueLength bounds the messages that wait for one host.
	queueLength = 1024
	// reconnectPause is the wait before a new connection after a failure.
	reconnectPause = 50 * time.Millisecond
)

// Transport implements raft.Transport with one ordered stream a host. What does
// not fit in a host's queue is dropped and counted.
type Transport struct {
	Client *wire.Client
	Clock  clockwork.Clock
	// Dropped counts messages that were not sent.
	Dropped *expvar.Int

	ctx   context.Context
	mu    sync.Mutex
	hosts map[netip.AddrPort]chan raft.Message
	tasks sync.WaitGroup
}

var _ raft.Transport = (*Transport)(nil)

// Start lets the transport send until ctx ends.
func (t *Transport) Start(ctx context.Context) {
	t.ctx = ctx
	t.hosts = map[netip.AddrPort]chan raft.Message{}
}

// Wait returns once all senders have ended.
func (t *Transport) Wait() { t.tasks.Wait() }

// Send implements raft.Transport.
func (t *Transport) Send(to raft.Member, m raft.Message) {
	select {
	case t.queue(to.Address) <- m:
	default:
		t.Dropped.Add(1)
	}
}

func (t *Transport) queue(a netip.AddrPort) chan raft.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.hosts[a]
	if !ok {
		q = make(chan raft.Message, queueLength)
		t.hosts[a] = q
		t.tasks.Go(func() { t.run(a, q) })
	}
	return q
}

// run sends the messages for one host, reconnecting after failures.
func (t *Transport) run(a netip.AddrPort, q chan raft.Message) {
	for t.ctx.Err() == nil {
		t.session(a, q)
		t.drain(q)
		select {
		case <-t.ctx.Done():
		case <-t.Clock.After(reconnectPause):
		}
	}
}

func (t *Transport) session(a netip.AddrPort, q chan raft.Message) {
	s, err := wire.OpenFeed[raft.Message](t.ctx, t.Client, a, MethodStep)
	if err != nil {
		return
	}
	defer s.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-q:
			if s.Send(&m) != nil {
				t.Dropped.Add(1)
				return
			}
		}
	}
}

// drain drops messages that grew old while there was no connection.
func (t *Transport) drain(q chan raft.Message) {
	for {
		select {
		case <-q:
			t.Dropped.Add(1)
		default:
			return
		}
	}
}

// Register makes receive take the messages of other hosts.
func Register(m *wire.Mux, receive func(raft.Message)) {
	wire.Feed(m, MethodStep, wire.Controls, func(_ context.Context, x *raft.Message) { receive(*x) })
}
