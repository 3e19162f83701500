package jobs

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"testing"

	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

const benchLine = `{"custom_id":"i0","method":"POST","url":"/v1/completions","body":{"model":"small","prompt":"a note of ordinary length for one booking","max_tokens":60}}`

// benchMachine returns a leading machine with job "j" of n pending items.
func benchMachine(b *testing.B, n int) *Machine {
	m := New(&disk.Spill{Dir: b.TempDir()})
	m.BeginLeasing()
	m.Apply(&Command{At: epoch, CreateFile: &CreateFile{ID: "f", Workspace: "w"}})
	const chunk = 2000
	for first := 0; first < n; first += chunk {
		items := make([]ItemInput, min(chunk, n-first))
		for i := range items {
			items[i] = ItemInput{Needs: "m", Idempotent: true, Line: []byte(benchLine)}
		}
		m.Apply(&Command{At: epoch, Append: &Append{File: "f", Workspace: "w", First: first, Items: items}})
	}
	m.Apply(&Command{At: epoch, FinishFile: &FinishFile{File: "f", Workspace: "w", Count: n}})
	createJob(m, "j", "f", "w", "")
	return m
}

// BenchmarkMemory reports the heap that a job's items occupy.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{20000, 80000, 220000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := benchMachine(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/item")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
			runtime.KeepAlive(m)
		})
	}
}

// BenchmarkItem measures the lease and completion of items, 32 per command, without
// the replicated log. It reports the time per item.
func BenchmarkItem(b *testing.B) {
	const n, batch = 220000, 32
	m := benchMachine(b, n)
	remaining := n
	for b.Loop() {
		if remaining < batch {
			b.StopTimer()
			m, remaining = benchMachine(b, n), n
			b.StartTimer()
		}
		var refs []ItemRef
		var outcomes []Outcome
		for range batch {
			ref, _ := m.Next("j", needs)
			refs = append(refs, ref)
			outcomes = append(outcomes, Outcome{Ref: ref, OK: true, Output: []byte(benchLine)})
		}
		m.Apply(&Command{At: epoch, Lease: &Lease{Side: "s", Items: refs}})
		m.Apply(&Command{At: epoch, Complete: &Complete{Outcomes: outcomes}})
		remaining -= batch
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/item")
}

// BenchmarkLots measures PendingJobs, which runs for each lease request, by the number
// of running jobs.
func BenchmarkLots(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			m := benchMachine(b, 10)
			for i := range n {
				createJob(m, fmt.Sprintf("job-%d", i), "f", "w", "")
			}
			for b.Loop() {
				m.PendingJobs(needs, func(string) float64 { return 1 })
			}
		})
	}
}

// BenchmarkSnapshot measures the copy, during which commands wait, and the copy
// together with the writing, during which they don't.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20000, 80000, 220000} {
		m := benchMachine(b, n)
		b.Run(fmt.Sprintf("copy/items=%d", n), func(b *testing.B) {
			for b.Loop() {
				m.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("write/items=%d", n), func(b *testing.B) {
			for b.Loop() {
				if err := m.Snapshot().WriteSnapshot(io.Discard); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRestore measures the restore of a snapshot, as at the start of a replica.
func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{20000, 80000, 220000} {
		b.Run(fmt.Sprintf("items=%d", n), func(b *testing.B) {
			m := benchMachine(b, n)
			var data bytes.Buffer
			if err := m.Snapshot().WriteSnapshot(&data); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if err := New(m.Spill).Restore(memoryReader{bytes.NewReader(data.Bytes())}, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
