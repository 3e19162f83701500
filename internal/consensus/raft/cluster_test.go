package raft

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate"
)

// fakeLog is a Log in memory. It needs no unsynced state, since all writes of a Log
// return only after a sync.
type fakeLog struct {
	stored  Stored
	present bool
	// failNextAppend makes the next Append fail without a change, as a crash before
	// the sync does.
	failNextAppend bool
	// full makes writes fail without a change.
	full bool
}

func (f *fakeLog) Load() (Stored, bool, error) {
	s := f.stored
	s.Entries = append([]Entry(nil), s.Entries...)
	return s, f.present, nil
}

func (f *fakeLog) Append(h HardState, entries []Entry) error {
	if f.full {
		return errFull
	}
	if f.failNextAppend {
		f.failNextAppend = false
		return io.ErrShortWrite
	}
	f.stored.HardState = h
	for _, e := range entries {
		f.stored.Entries = append(f.stored.Entries[:e.Index-f.stored.Base.Index-1:e.Index-f.stored.Base.Index-1], e)
	}
	return nil
}

func (f *fakeLog) Reset(s Stored) error {
	if f.full {
		return errFull
	}
	s.Entries = append([]Entry(nil), s.Entries...)
	f.stored, f.present = s, true
	return nil
}

// fakeSnapshots is a SnapshotStore in memory.
type fakeSnapshots struct {
	meta     SnapshotMeta
	data     []byte
	partial  []byte
	incoming SnapshotMeta
	// full makes Save fail after the content is written.
	full bool
}

func (f *fakeSnapshots) Latest() (SnapshotMeta, bool) { return f.meta, f.meta.Index > 0 }

func (f *fakeSnapshots) Save(m SnapshotMeta, w rhubarbgate.SnapshotWriter) (SnapshotMeta, error) {
	var b bytes.Buffer
	if err := w.WriteSnapshot(&b); err != nil {
		return SnapshotMeta{}, err
	}
	if m.Index <= f.meta.Index {
		return SnapshotMeta{}, fmt.Errorf("old snapshot")
	}
	m.Size = int64(b.Len())
	if f.full {
		return m, errFull
	}
	f.meta, f.data = m, b.Bytes()
	return m, nil
}

func (f *fakeSnapshots) ReadChunk(_ uint64, offset int64, _ int) ([]byte, error) {
	const testChunkBytes = 64 // small, so that a snapshot takes many chunks and transfers are resumed
	end := min(int64(len(f.data)), offset+testChunkBytes)
	return f.data[min(offset, end):end], nil
}

func (f *fakeSnapshots) WriteChunk(m SnapshotMeta, offset int64, data []byte) (int64, error) {
	if f.incoming.Index != m.Index || f.incoming.Term != m.Term {
		f.incoming, f.partial = m, nil
	}
	if offset != int64(len(f.partial)) {
		return int64(len(f.partial)), nil
	}
	f.partial = append(f.partial, data...)
	if int64(len(f.partial)) == m.Size {
		f.meta, f.data = m, f.partial
		f.incoming, f.partial = SnapshotMeta{}, nil
		return m.Size, nil
	}
	return int64(len(f.partial)), nil
}

// memoryReader is a SnapshotReader of bytes in memory.
type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

func (f *fakeSnapshots) Open() (rhubarbgate.SnapshotReader, error) {
	return memoryReader{bytes.NewReader(f.data)}, nil
}

// register is a state machine that maps keys to values. A command is a key byte and a
// big-endian value.
type register struct {
	values map[byte]uint64
	count  uint64
}

func (r *register) Apply(_ uint64, c []byte) any {
	r.values[c[0]] = binary.BigEndian.Uint64(c[1:])
	r.count++
	return r.count
}

// registerSnapshot is the encoded state of a register.
type registerSnapshot struct{ b []byte }

func (w registerSnapshot) WriteSnapshot(out io.Writer) error {
	_, err := out.Write(w.b)
	return err
}

func (registerSnapshot) Release() {}

func (r *register) Snapshot() rhubarbgate.SnapshotWriter {
	b := binary.BigEndian.AppendUint64(nil, r.count)
	for k := byte(0); k < 8; k++ {
		b = binary.BigEndian.AppendUint64(append(b, k), r.values[k])
	}
	return registerSnapshot{b}
}

func (r *register) Restore(s rhubarbgate.SnapshotReader) error {
	b := make([]byte, s.Size())
	if _, err := s.ReadAt(b, 0); err != nil {
		return err
	}
	r.count, r.values = binary.BigEndian.Uint64(b), map[byte]uint64{}
	for b = b[8:]; len(b) > 0; b = b[9:] {
		r.values[b[0]] = binary.BigEndian.Uint64(b[1:])
	}
	return nil
}

// skewedClock is a clock that runs at the given rate relative to the cluster's.
type skewedClock struct {
	clockwork.Clock
	origin time.Time
	rate   float64
}

func (s skewedClock) Now() time.Time {
	d := s.Clock.Now().Sub(s.origin)
	return s.origin.Add(time.Duration(float64(d) * s.rate))
}

// testReplica is one replica and its durable state, which survives a crash.
type testReplica struct {
	group     *Group
	log       *fakeLog
	snapshots *fakeSnapshots
	machine   *register
	self      Member
	running   bool
	paused    bool
	// slowPolls polls the replica in one of eight steps on average.
	slowPolls bool
	// slowDisk completes a write in one of eight steps on average.
	slowDisk      bool
	pendingWrites []func() // in progress, in order
}

// write is the replica's Background function: on a slow disk, writes complete in later
// steps.
func (r *testReplica) write(f func()) {
	if r.slowDisk || len(r.pendingWrites) > 0 {
		r.pendingWrites = append(r.pendingWrites, f)
		return
	}
	f()
}

// completeWrite runs the oldest pending write.
func (r *testReplica) completeWrite() {
	f := r.pendingWrites[0]
	r.pendingWrites = r.pendingWrites[1:]
	f()
}

// delayedMessage is a message in flight.
type delayedMessage struct {
	deliverAt time.Time
	message   Message
}

// cluster runs replicas in one goroutine over a network with faults.
type cluster struct {
	clock          *clockwork.FakeClock
	random         *rand.Rand
	replicas       map[uint64]*testReplica
	inFlight       []delayedMessage
	blocked        map[[2]uint64]bool // by sender and receiver
	lossRate       float64
	leaderByTerm   map[uint64]uint64
	appliedEntries map[uint64]Entry // by index, to check that all replicas apply the same
}

const (
	testElection  = 300 * time.Millisecond
	testHeartbeat = 50 * time.Millisecond
	testStep      = 10 * time.Millisecond
	testDrift     = 0.05
)

// newCluster starts and bootstraps replicas with the IDs 1 to voters.
func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), replicas: map[uint64]*testReplica{},
		blocked: map[[2]uint64]bool{}, leaderByTerm: map[uint64]uint64{}, appliedEntries: map[uint64]Entry{},
	}
	var members Members
	for i := 1; i <= voters; i++ {
		r := c.add(uint64(i), uint64(i)*100)
		members = append(members, r.self)
	}
	for _, m := range members {
		if err := c.replicas[m.ID].group.Bootstrap(members); err != nil {
			panic(err)
		}
	}
	return c
}

// add starts a replica with an empty disk; it is not a member of the group yet.
func (c *cluster) add(id, incarnation uint64) *testReplica {
	r := &testReplica{log: &fakeLog{}, snapshots: &fakeSnapshots{}, self: Member{ID: id, Incarnation: incarnation, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(id))}}
	c.replicas[id] = r
	c.start(r)
	return r
}

// start starts a replica from its durable state, with a random clock rate within the
// drift.
func (c *cluster) start(r *testReplica) {
	r.machine = &register{values: map[byte]uint64{}}
	r.running = true
	clockRate := 1 + testDrift*(2*c.random.Float64()-1)
	r.group = &Group{
		ID: 1, Self: r.self, Clock: skewedClock{c.clock, c.clock.Now(), clockRate}, Random: c.random, Log: r.log, Snapshots: r.snapshots,
		Transport: c, Machine: checkedMachine{r.machine, c}, Logger: &log.Logger{Handler: discard.New()},
		ElectionMin: testElection, Heartbeat: testHeartbeat, Drift: testDrift, SnapshotBytes: 400,
		Background: r.write,
	}
	if err := r.group.Open(); err != nil {
		if !IsDiskFull(err) {
			panic(err)
		}
		r.running = false
	}
}

// checkedMachine panics if two replicas apply different commands at one index.
type checkedMachine struct {
	*register
	cluster *cluster
}

func (m checkedMachine) Apply(index uint64, data []byte) any {
	if e, ok := m.cluster.appliedEntries[index]; ok && !bytes.Equal(e.Data, data) {
		panic(fmt.Sprintf("index %d applied as %x and as %x", index, e.Data, data))
	}
	m.cluster.appliedEntries[index] = Entry{Index: index, Data: data}
	return m.register.Apply(index, data)
}

// crash stops a replica; only its durable state survives.
func (c *cluster) crash(id uint64) {
	r := c.replicas[id]
	if !r.running {
		return
	}
	r.running = false
	r.group.failPending(ErrStopped)
	// Any number of the pending writes, in order, may have reached the disk.
	for range c.random.IntN(len(r.pendingWrites) + 1) {
		r.completeWrite()
	}
	r.pendingWrites = nil
}

// Send implements Transport: messages are lost, delayed, duplicated and reordered.
func (c *cluster) Send(to Member, m Message) {
	if c.blocked[[2]uint64{m.From, to.ID}] || c.random.Float64() < c.lossRate {
		return
	}
	copies := 1
	if c.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.random.IntN(15)) * time.Millisecond
		c.inFlight = append(c.inFlight, delayedMessage{c.clock.Now().Add(delay), m})
	}
}

// step advances the clock by testStep, delivers due messages and polls the replicas.
func (c *cluster) step() {
	c.clock.Advance(testStep)
	now := c.clock.Now()
	due := c.inFlight
	c.inFlight = nil
	for _, f := range due {
		r := c.replicas[f.message.To]
		switch {
		case f.deliverAt.After(now) || (r != nil && r.paused):
			c.inFlight = append(c.inFlight, f)
		case r != nil && r.running:
			r.group.Receive(f.message)
		}
	}
	for id := uint64(1); id <= uint64(len(c.replicas)+8); id++ {
		r := c.replicas[id]
		if r == nil || !r.running {
			continue
		}
		for len(r.pendingWrites) > 0 && (!r.slowDisk || c.random.IntN(8) == 0) {
			r.completeWrite()
		}
		if !r.paused && (!r.slowPolls || c.random.IntN(8) == 0) {
			c.poll(id, r)
		}
	}
}

// poll polls a replica, which crashes if its storage fails, and checks that each term
// has one leader.
func (c *cluster) poll(id uint64, r *testReplica) {
	r.group.Tick()
	if r.group.Poll() != nil {
		c.crash(id)
		return
	}
	s := r.group.Status()
	if s.Phase != Leader {
		return
	}
	if other, ok := c.leaderByTerm[s.Term]; ok && other != id {
		panic(fmt.Sprintf("term %d is led by %d and %d", s.Term, other, id))
	}
	c.leaderByTerm[s.Term] = id
}

// run steps the cluster for d.
func (c *cluster) run(d time.Duration) {
	for range d / testStep {
		c.step()
	}
}

// leader returns the replica that holds a valid lease, or nil. It panics if two hold one.
func (c *cluster) leader() *testReplica {
	var found *testReplica
	for _, r := range c.replicas {
		if r.running && r.group.Leased() {
			if found != nil {
				panic("two replicas hold a lease")
			}
			found = r
		}
	}
	return found
}

// endFaults ends all faults and starts the replicas that are not running.
func (c *cluster) endFaults() {
	clear(c.blocked)
	c.lossRate = 0
	for id := uint64(1); id <= uint64(len(c.replicas)); id++ {
		r := c.replicas[id]
		r.paused, r.slowPolls, r.slowDisk = false, false, false
		for len(r.pendingWrites) > 0 {
			r.completeWrite()
		}
		r.log.failNextAppend, r.log.full, r.snapshots.full = false, false, false
		if r.running {
			c.poll(id, r) // crashes the replica if a write has failed
		}
		if !r.running {
			c.start(r)
		}
	}
}

// command encodes a register command.
func command(key byte, value uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{key}, value)
}
