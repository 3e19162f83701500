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

// fakeLog keeps what was synced; unsynced writes do not exist in the interface.
type fakeLog struct {
	stored  Stored
	present bool
	// tear makes the next append fail as a crash in the middle of it would.
	tear bool
}

func (f *fakeLog) Load() (Stored, bool, error) {
	s := f.stored
	s.Entries = append([]Entry(nil), s.Entries...)
	return s, f.present, nil
}

func (f *fakeLog) Append(h HardState, entries []Entry) error {
	if f.tear {
		f.tear = false
		return io.ErrShortWrite
	}
	f.stored.HardState = h
	for _, e := range entries {
		f.stored.Entries = append(f.stored.Entries[:e.Index-f.stored.Base.Index-1:e.Index-f.stored.Base.Index-1], e)
	}
	return nil
}

func (f *fakeLog) Reset(s Stored) error {
	s.Entries = append([]Entry(nil), s.Entries...)
	f.stored, f.present = s, true
	return nil
}

// fakeSnapshots keeps the newest snapshot in memory.
type fakeSnapshots struct {
	meta    SnapshotMeta
	data    []byte
	partial []byte
	coming  SnapshotMeta
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
	f.meta, f.data = m, b.Bytes()
	return m, nil
}

func (f *fakeSnapshots) ReadChunk(_ uint64, offset int64, _ int) ([]byte, error) {
	const small = 64 // many chunks, so that resuming is exercised
	end := min(int64(len(f.data)), offset+small)
	return f.data[min(offset, end):end], nil
}

func (f *fakeSnapshots) WriteChunk(m SnapshotMeta, offset int64, data []byte) (int64, error) {
	if f.coming.Index != m.Index || f.coming.Term != m.Term {
		f.coming, f.partial = m, nil
	}
	if offset != int64(len(f.partial)) {
		return int64(len(f.partial)), nil
	}
	f.partial = append(f.partial, data...)
	if int64(len(f.partial)) == m.Size {
		f.meta, f.data = m, f.partial
		f.coming, f.partial = SnapshotMeta{}, nil
		return m.Size, nil
	}
	return int64(len(f.partial)), nil
}

type memoryReader struct{ *bytes.Reader }

func (memoryReader) Close() error { return nil }

func (f *fakeSnapshots) Open() (rhubarbgate.SnapshotReader, error) {
	return memoryReader{bytes.NewReader(f.data)}, nil
}

// register is a state machine with one value a key; commands are key and value.
type register struct {
	values map[byte]uint64
	count  uint64
}

func (r *register) Apply(_ uint64, c []byte) any {
	r.values[c[0]] = binary.BigEndian.Uint64(c[1:])
	r.count++
	return r.count
}

type registerWriter struct{ b []byte }

func (w registerWriter) WriteSnapshot(out io.Writer) error {
	_, err := out.Write(w.b)
	return err
}

func (registerWriter) Release() {}

func (r *register) Snapshot() rhubarbgate.SnapshotWriter {
	b := binary.BigEndian.AppendUint64(nil, r.count)
	for k := byte(0); k < 8; k++ {
		b = binary.BigEndian.AppendUint64(append(b, k), r.values[k])
	}
	return registerWriter{b}
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

// skewed is a clock that runs at its own pace.
type skewed struct {
	clockwork.Clock
	zero time.Time
	pace float64
}

func (s skewed) Now() time.Time {
	d := s.Clock.Now().Sub(s.zero)
	return s.zero.Add(time.Duration(float64(d) * s.pace))
}

// node is one replica with what survives its crashes.
type node struct {
	group   *Group
	log     *fakeLog
	snaps   *fakeSnapshots
	machine *register
	self    Member
	up      bool
	paused  bool
	// slow makes each iteration take long.
	slow bool
	// slowDisk makes each write to the disk take long.
	slowDisk bool
	writes   []func() // under way, in order
}

// write is the replica's Background: on a slow disk, writes end in later steps.
func (n *node) write(f func()) {
	if n.slowDisk || len(n.writes) > 0 {
		n.writes = append(n.writes, f)
		return
	}
	f()
}

func (n *node) endWrite() {
	f := n.writes[0]
	n.writes = n.writes[1:]
	f()
}

type flight struct {
	at time.Time
	m  Message
}

// cluster drives replicas in one goroutine over a faulty network.
type cluster struct {
	clock   *clockwork.FakeClock
	random  *rand.Rand
	nodes   map[uint64]*node
	flights []flight
	cut     map[[2]uint64]bool // one-way
	loss    float64
	leaders map[uint64]uint64 // by term
	applied map[uint64]Entry  // by index, to check that logs agree
}

const (
	testElection  = 300 * time.Millisecond
	testHeartbeat = 50 * time.Millisecond
	testStep      = 10 * time.Millisecond
	testDrift     = 0.05
)

func newCluster(seed uint64, voters int) *cluster {
	c := &cluster{
		clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*node{},
		cut: map[[2]uint64]bool{}, leaders: map[uint64]uint64{}, applied: map[uint64]Entry{},
	}
	var members Members
	for i := 1; i <= voters; i++ {
		n := c.add(uint64(i), uint64(i)*100)
		members = append(members, n.self)
	}
	for _, m := range members {
		if err := c.nodes[m.ID].group.Bootstrap(members); err != nil {
			panic(err)
		}
	}
	return c
}

func (c *cluster) add(id, incarnation uint64) *node {
	n := &node{log: &fakeLog{}, snaps: &fakeSnapshots{}, self: Member{ID: id, Incarnation: incarnation, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(id))}}
	c.nodes[id] = n
	c.start(n)
	return n
}

func (c *cluster) start(n *node) {
	n.machine = &register{values: map[byte]uint64{}}
	n.up = true
	pace := 1 + testDrift*(2*c.random.Float64()-1)
	n.group = &Group{
		ID: 1, Self: n.self, Clock: skewed{c.clock, c.clock.Now(), pace}, Random: c.random, Log: n.log, Snapshots: n.snaps,
		Transport: c, Machine: checked{n.machine, c}, Logger: &log.Logger{Handler: discard.New()},
		ElectionMin: testElection, Heartbeat: testHeartbeat, Drift: testDrift, SnapshotBytes: 400,
		Background: n.write,
	}
	if err := n.group.Open(); err != nil {
		panic(err)
	}
}

// checked fails if two replicas apply different commands at one index.
type checked struct {
	*register
	cluster *cluster
}

func (k checked) Apply(index uint64, data []byte) any {
	if e, ok := k.cluster.applied[index]; ok && !bytes.Equal(e.Data, data) {
		panic(fmt.Sprintf("index %d applied as %x and as %x", index, e.Data, data))
	}
	k.cluster.applied[index] = Entry{Index: index, Data: data}
	return k.register.Apply(index, data)
}

func (c *cluster) crash(id uint64) {
	n := c.nodes[id]
	if !n.up {
		return
	}
	n.up = false
	n.group.abandon(ErrStopped)
	// Of the writes under way, any number may have reached the disk.
	for range c.random.IntN(len(n.writes) + 1) {
		n.endWrite()
	}
	n.writes = nil
}

// Send implements Transport: messages are lost, delayed, doubled and reordered.
func (c *cluster) Send(to Member, m Message) {
	if c.cut[[2]uint64{m.From, to.ID}] || c.random.Float64() < c.loss {
		return
	}
	copies := 1
	if c.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(c.random.IntN(15)) * time.Millisecond
		c.flights = append(c.flights, flight{c.clock.Now().Add(delay), m})
	}
}

func (c *cluster) step() {
	c.clock.Advance(testStep)
	now := c.clock.Now()
	due := c.flights
	c.flights = nil
	for _, f := range due {
		n := c.nodes[f.m.To]
		switch {
		case f.at.After(now) || (n != nil && n.paused):
			c.flights = append(c.flights, f)
		case n != nil && n.up:
			n.group.Receive(f.m)
		}
	}
	for id := uint64(1); id <= uint64(len(c.nodes)+8); id++ {
		n := c.nodes[id]
		if n == nil || !n.up {
			continue
		}
		for len(n.writes) > 0 && (!n.slowDisk || c.random.IntN(8) == 0) {
			n.endWrite()
		}
		if !n.paused && (!n.slow || c.random.IntN(8) == 0) {
			c.poll(id, n)
		}
	}
}

func (c *cluster) poll(id uint64, n *node) {
	n.group.Tick()
	if n.group.Poll() != nil {
		c.crash(id)
		return
	}
	s := n.group.Status()
	if s.Phase != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != id {
		panic(fmt.Sprintf("term %d is led by %d and %d", s.Term, other, id))
	}
	c.leaders[s.Term] = id
}

func (c *cluster) run(d time.Duration) {
	for range d / testStep {
		c.step()
	}
}

// leader returns the replica with a valid lease; two at once are a failure.
func (c *cluster) leader() *node {
	var found *node
	for _, n := range c.nodes {
		if n.up && n.group.Leased() {
			if found != nil {
				panic("two leases at once")
			}
			found = n
		}
	}
	return found
}

func (c *cluster) heal() {
	clear(c.cut)
	c.loss = 0
	for id := uint64(1); id <= uint64(len(c.nodes)); id++ {
		n := c.nodes[id]
		n.paused, n.slow, n.slowDisk = false, false, false
		for len(n.writes) > 0 {
			n.endWrite()
		}
		n.log.tear = false
		if n.up {
			c.poll(id, n) // crashes if a write has failed
		}
		if !n.up {
			c.start(n)
		}
	}
}

func command(key byte, value uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{key}, value)
}
