// Package peer sends Raft messages between the hosts that keep replicated state.
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

// MethodStep is the name of the RPC method that receives Raft messages.
const MethodStep = "/peer/Step"

const (
	// queueLength bounds the messages queued for one host.
	queueLength = 1024
	// reconnectInterval is the wait before a new stream is opened after a failure.
	reconnectInterval = 50 * time.Millisecond
)

// Transport implements raft.Transport with one ordered stream per host. A message that
// does not fit in the host's queue is dropped and counted.
type Transport struct {
	Client *wire.Client
	Clock  clockwork.Clock
	// Dropped counts messages that were not sent.
	Dropped *expvar.Int

	ctx     context.Context
	mu      sync.Mutex
	queues  map[netip.AddrPort]chan raft.Message
	senders sync.WaitGroup
}

var _ raft.Transport = (*Transport)(nil)

// Start must be called before Send. Messages are sent until ctx ends.
func (t *Transport) Start(ctx context.Context) {
	t.ctx = ctx
	t.queues = map[netip.AddrPort]chan raft.Message{}
}

// Wait returns once all senders have stopped.
func (t *Transport) Wait() { t.senders.Wait() }

// Send implements raft.Transport. It queues the message and never blocks.
func (t *Transport) Send(to raft.Member, m raft.Message) {
	select {
	case t.queue(to.Address) <- m:
	default:
		t.Dropped.Add(1)
	}
}

// queue returns the queue of the host at a. The first call for a host starts its sender.
func (t *Transport) queue(a netip.AddrPort) chan raft.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[a]
	if !ok {
		q = make(chan raft.Message, queueLength)
		t.queues[a] = q
		t.senders.Go(func() { t.sendLoop(a, q) })
	}
	return q
}

// sendLoop sends the messages queued for one host and reconnects after failures.
func (t *Transport) sendLoop(a netip.AddrPort, q chan raft.Message) {
	for t.ctx.Err() == nil {
		t.sendUntilError(a, q)
		t.discardQueued(q)
		select {
		case <-t.ctx.Done():
		case <-t.Clock.After(reconnectInterval):
		}
	}
}

// sendUntilError opens a stream and sends on it until a message fails or ctx ends.
func (t *Transport) sendUntilError(a netip.AddrPort, q chan raft.Message) {
	s, err := wire.OpenClientStream[raft.Message](t.ctx, t.Client, a, MethodStep)
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

// discardQueued drops the messages that were queued while there was no connection: they
// are out of date.
func (t *Transport) discardQueued(q chan raft.Message) {
	for {
		select {
		case <-q:
			t.Dropped.Add(1)
		default:
			return
		}
	}
}

// Register adds the method to m by which other hosts send messages; each is passed to
// receive.
func Register(m *wire.Mux, receive func(raft.Message)) {
	wire.ClientStream(m, MethodStep, wire.Controls, func(_ context.Context, message *raft.Message) { receive(*message) })
}
