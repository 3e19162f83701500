package batch

import (
	"time"

	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// paceSmoothing is the weight of a new sample in the moving averages of pace.
const paceSmoothing = 0.05

// shortItemShare is the length of an item, as a share of the mean, below which few items
// are: an item is expected to miss its due time only if even one that short would.
const shortItemShare = 0.7

// pace estimates how long an item runs, from the items that completed.
type pace struct {
	bytes          float64 // mean length of an output; 0 until the first item completes
	bytesPerSecond float64 // mean rate of an output while its item is leased
}

// observe records that an item of a lease that lasted d completed with an output of the
// given length, of which it had resumed after some.
func (p *pace) observe(length, resumed int, d time.Duration) {
	if d <= 0 || resumed >= length {
		return
	}
	rate := float64(length-resumed) / d.Seconds()
	if p.bytes == 0 {
		p.bytes, p.bytesPerSecond = float64(length), rate
		return
	}
	p.bytes += paceSmoothing * (float64(length) - p.bytes)
	p.bytesPerSecond += paceSmoothing * (rate - p.bytesPerSecond)
}

// timeLeft returns how long an item with the given partial output takes at least, 0 if that
// is not known.
func (p *pace) timeLeft(progress int) time.Duration {
	left := shortItemShare*p.bytes - float64(progress)
	if p.bytes == 0 || left <= 0 {
		return 0
	}
	return time.Duration(left / p.bytesPerSecond * float64(time.Second))
}

// leaseStart is what the dispatcher remembers of a lease for the pace.
type leaseStart struct {
	at       time.Time
	progress int // bytes of partial output
}

// RecordCompleted updates the pace with the outcomes that a committed command recorded. Call
// it before RemoveLeases.
func (d *Dispatcher) RecordCompleted(outcomes []jobs.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for _, o := range outcomes {
		if g, ok := d.starts[o.Ref]; ok && o.OK {
			d.pace.observe(len(o.Output), g.progress, now.Sub(g.at))
		}
	}
}
