package disk

import (
	"fmt"
	"os"
	"testing"

	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
)

// BenchmarkRecovery measures reading the log when a replica starts, for several
// numbers of entries.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			l := &Log{Dir: b.TempDir()}
			s := raft.Stored{Base: raft.SnapshotMeta{Members: members()}}
			if _, _, err := l.Load(); err != nil {
				b.Fatal(err)
			}
			if err := l.Reset(s); err != nil {
				b.Fatal(err)
			}
			const batch = 100
			for i := 0; i < n; i += batch {
				var es []raft.Entry
				for k := range batch {
					es = append(es, entry(uint64(i+k+1), 1))
				}
				if err := l.Append(raft.HardState{Term: 1}, es); err != nil {
					b.Fatal(err)
				}
			}
			for b.Loop() {
				x := &Log{Dir: l.Dir}
				if _, _, err := x.Load(); err != nil {
					b.Fatal(err)
				}
				x.Close()
			}
			info, err := os.Stat(l.path())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(info.Size())/float64(n), "bytes/entry")
		})
	}
}

// BenchmarkSync measures appending one entry and syncing the file.
func BenchmarkSync(b *testing.B) {
	l := &Log{Dir: b.TempDir()}
	if _, _, err := l.Load(); err != nil {
		b.Fatal(err)
	}
	if err := l.Reset(raft.Stored{Base: raft.SnapshotMeta{Members: members()}}); err != nil {
		b.Fatal(err)
	}
	for i := uint64(1); b.Loop(); i++ {
		if err := l.Append(raft.HardState{Term: 1}, []raft.Entry{entry(i, 1)}); err != nil {
			b.Fatal(err)
		}
	}
}
