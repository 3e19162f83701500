// Package streams remembers which software version began a stream, so that it goes on there when its entry is gone.
package streams

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
)

const (
	// generationTime bounds each of the two generations of a Memory. It exceeds the time for which
	// callers of interactive streams come back.
	generationTime = 30 * time.Second
	// maxGeneration bounds the records of a generation. Streams whose record is dropped early are
	// refused when they are taken up while several versions serve.
	maxGeneration = 1 << 16
)

// Memory holds the records of streams on a control host, in memory: they matter for seconds only.
type Memory struct {
	Clock clockwork.Clock
	// History follows the list of targets.
	History *versions.History

	mu            sync.Mutex
	recent, older map[string]control.StreamRecord
	since         time.Time // when recent began
}

// Handle handles control.MethodStreams.
func (m *Memory) Handle(_ context.Context, in *control.Streams) (*control.StreamsReply, error) {
	m.keep(in.Began)
	out := &control.StreamsReply{Known: m.History.Known()}
	if in.Find == "" {
		return out, nil
	}
	if r, ok := m.find(in.Find); ok {
		out.Found = &r
	}
	for _, service := range in.Services {
		out.Listed = append(out.Listed, m.History.Versions(service)...)
	}
	return out, nil
}

// keep adds records.
func (m *Memory) keep(records []control.StreamRecord) {
	if len(records) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for _, r := range records {
		if m.recent == nil || len(m.recent) >= maxGeneration || now.Sub(m.since) >= generationTime {
			m.recent, m.older, m.since = map[string]control.StreamRecord{}, m.recent, now
		}
		m.recent[r.Stream] = r
	}
}

// find returns the record of a stream.
func (m *Memory) find(stream string) (control.StreamRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.recent[stream]; ok {
		return r, true
	}
	r, ok := m.older[stream]
	return r, ok
}

// Len returns the number of records.
func (m *Memory) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.recent) + len(m.older)
}
