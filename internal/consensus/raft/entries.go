package raft

import (
	"rhubarbgate.example/rhubarbgate/internal/rpc/wire"
)

// entryLog holds the entries after the newest snapshot in memory.
type entryLog struct {
	base    SnapshotMeta
	entries []Entry
	bytes   int // size of the data of all entries
}

func newEntryLog(base SnapshotMeta, entries []Entry) *entryLog {
	l := &entryLog{base: base}
	l.append(entries...)
	return l
}

func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		l.bytes += len(e.Data)
	}
	l.entries = append(l.entries, entries...)
}

// last returns the index of the last entry, or of the snapshot without entries.
func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.termAt(l.last()) }

// termAt returns the term of the entry at index, or 0 if the log does not hold it.
func (l *entryLog) termAt(index uint64) uint64 {
	if index == l.base.Index {
		return l.base.Term
	}
	if index < l.base.Index || index > l.last() {
		return 0
	}
	return l.entries[index-l.base.Index-1].Term
}

func (l *entryLog) entryAt(index uint64) Entry { return l.entries[index-l.base.Index-1] }

// from returns the entry at index and all after it.
func (l *entryLog) from(index uint64) []Entry {
	if index > l.last() {
		return nil
	}
	return l.entries[index-l.base.Index-1:]
}

// slice returns entries from index on, at most limit entries and maxBytes of data.
// The first entry is returned whatever its size.
func (l *entryLog) slice(index uint64, limit, maxBytes int) []Entry {
	suffix := l.from(index)
	bytes := 0
	for i, e := range suffix {
		bytes += len(e.Data)
		if i == limit || (i > 0 && bytes > maxBytes) {
			return suffix[:i:i]
		}
	}
	return suffix[:len(suffix):len(suffix)]
}

// truncate drops the entry at index and all after it.
func (l *entryLog) truncate(index uint64) {
	for _, e := range l.from(index) {
		l.bytes -= len(e.Data)
	}
	// Copy: messages that are not yet sent and the write in progress may share the
	// old array.
	l.entries = append([]Entry(nil), l.entries[:index-l.base.Index-1]...)
}

// compact drops the entries that the snapshot m covers.
func (l *entryLog) compact(m SnapshotMeta) {
	rest := append([]Entry(nil), l.from(m.Index+1)...)
	l.base, l.entries, l.bytes = m, nil, 0
	l.append(rest...)
}

// membership returns the newest membership in the log, committed or not, and its index.
func (l *entryLog) membership() (Members, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembers {
			return decodeMembers(l.entries[i].Data), l.entries[i].Index
		}
	}
	return l.base.Members, l.base.Index
}

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index uint64) Members {
	m := l.base.Members
	for _, e := range l.entries {
		if e.Index > index {
			break
		}
		if e.Kind == EntryMembers {
			m = decodeMembers(e.Data)
		}
	}
	return m
}

func encodeMembers(m Members) ([]byte, error) { return wire.Marshal(m) }

// decodeMembers panics on malformed data: it has passed the checksum of the log, so
// it was written malformed and the replica cannot continue.
func decodeMembers(b []byte) Members {
	var m Members
	if err := wire.Unmarshal(b, &m); err != nil {
		panic(err)
	}
	return m
}
