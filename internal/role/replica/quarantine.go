package replica

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/rpc/control"
	"rhubarbgate.example/rhubarbgate/internal/storage/disk"
)

// Quarantine implements configuration.Source.
func (h *Host) Quarantine(now time.Time) control.Quarantine {
	if h.Store {
		return h.watcher.Quarantine(now)
	}
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.value.Aged(now.Sub(q.at))
	v.Version = q.version
	return v
}

// applyQuarantine takes over the quarantine of the leader of the fleet group from the reply to
// a registration that was sent at the given time.
func (h *Host) applyQuarantine(in *control.Quarantine, sent time.Time) {
	if !h.Store && in != nil && h.quarantine.receive(*in, in.Version, sent) {
		h.notifier.Notify()
	}
}

const (
	// quarantineFile holds the blocks in the data folder.
	quarantineFile = "quarantine"
	// quarantineSaveInterval is how often a control host checks whether blocks are to be saved.
	quarantineSaveInterval = 100 * time.Millisecond
)

// savedBlock is a block as it is kept on disk.
type savedBlock struct {
	Part   quarantine.Part
	With   []quarantine.Part `msgpack:",omitempty"`
	Except []string          `msgpack:",omitempty"`
	Until  time.Time
	// TrialAt is when the block allows a trial, and LateTrials is Block.LateTrials.
	TrialAt    time.Time `msgpack:",omitempty"`
	LateTrials int       `msgpack:",omitempty"`
}

// loadQuarantine reads the blocks that the host saved. They are in force again once it leads the
// fleet group, as all daemons may have lost them.
func (h *Host) loadQuarantine() error {
	var saved []savedBlock
	err := disk.ReadRecord(h.Data, quarantineFile, &saved)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	now := h.Clock.Now()
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.at, q.value.Blocks = now, restoreBlocks(saved, now)
	return nil
}

// restoreBlocks returns the saved blocks that are still in force.
func restoreBlocks(saved []savedBlock, now time.Time) []quarantine.Block {
	var blocks []quarantine.Block
	for _, s := range saved {
		// The time of day may have been set back since.
		b := quarantine.Block{Part: s.Part, With: s.With, Except: s.Except, LateTrials: s.LateTrials, Left: min(s.Until.Sub(now), quarantine.BlockTime)}
		if !s.TrialAt.IsZero() {
			b.TrialIn = min(max(s.TrialAt.Sub(now), time.Nanosecond), quarantine.BlockTime)
		}
		if b.Left > 0 {
			blocks = append(blocks, b)
		}
	}
	return blocks
}

// saveQuarantine saves the blocks whenever they change, until ctx ends.
func (h *Host) saveQuarantine(ctx context.Context) {
	t := h.Clock.NewTicker(quarantineSaveInterval)
	defer t.Stop()
	var saved []savedBlock
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			saved = h.saveBlocks(saved)
		}
	}
}

// saveBlocks saves the blocks if they differ from those that were saved last, and returns those that
// are saved now.
func (h *Host) saveBlocks(saved []savedBlock) []savedBlock {
	now := h.Clock.Now()
	blocks := withoutTrials(h.Quarantine(now).Blocks)
	if slices.EqualFunc(blocks, restoreBlocks(saved, now), sameBlock) {
		return saved
	}
	changed := make([]savedBlock, len(blocks))
	for i, b := range blocks {
		changed[i] = savedBlock{Part: b.Part, With: b.With, Except: b.Except, Until: now.Add(b.Left), LateTrials: b.LateTrials}
		if b.TrialIn > 0 {
			changed[i].TrialAt = now.Add(b.TrialIn)
		}
	}
	if err := disk.WriteRecord(h.Data, quarantineFile, changed); err != nil {
		h.Logger.WithError(err).Warn("saving the quarantine failed")
		return saved
	}
	return changed
}

// withoutTrials returns the blocks that are not for trial.
func withoutTrials(blocks []quarantine.Block) []quarantine.Block {
	return slices.DeleteFunc(slices.Clone(blocks), func(b quarantine.Block) bool { return b.Trial })
}

// beginQuarantine prepares the quarantine for a new term in which this host leads, and reports
// whether it had to. The lock is held.
func (h *Host) beginQuarantine(term uint64, now time.Time) bool {
	q := &h.quarantine
	known := q.value.Aged(now.Sub(q.at)).Blocks
	table := &quarantine.Table{Clock: h.Clock}
	if !q.begin(term, table, now) {
		return false
	}
	table.Add(&quarantine.Report{Blocks: known})
	return true
}

// updateQuarantine publishes the quarantine if this host leads the fleet group. A new leader
// first publishes an empty one, which makes the daemons report again.
func (h *Host) updateQuarantine() {
	term, leads := h.leadsFleet()
	if !leads {
		return
	}
	now := h.Clock.Now()
	q := &h.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if h.beginQuarantine(term, now) {
		h.notifier.Notify()
		return
	}
	suspects, blocks := q.table.Suspects(), q.table.Blocks()
	if slices.Equal(suspects, q.value.Suspects) && slices.EqualFunc(blocks, q.value.Aged(now.Sub(q.at)).Blocks, sameBlock) {
		return
	}
	h.logQuarantine(suspects, blocks)
	q.replace(control.Quarantine{Suspects: suspects, Blocks: blocks}, now)
	h.notifier.Notify()
}

// sameBlock reports whether a block was neither narrowed, widened, tried nor renewed since it was published or
// saved.
func sameBlock(a, earlier quarantine.Block) bool { return !a.Renews(earlier) }

// logQuarantine logs what differs from the published quarantine. The lock is held.
func (h *Host) logQuarantine(suspects []quarantine.Part, blocks []quarantine.Block) {
	last := h.quarantine.value
	for _, p := range suspects {
		if !slices.Contains(last.Suspects, p) {
			h.Logger.WithFields(log.Fields{"service": p.Service, "part": p.ID}).Warn("targets end with this part of a prompt")
		}
	}
	for _, b := range blocks {
		if !slices.ContainsFunc(last.Blocks, func(x quarantine.Block) bool { return x.Part == b.Part && x.Trial == b.Trial }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID, "with": b.With, "except": b.Except, "trial": b.Trial, "left": b.Left.String(), "trialIn": b.TrialIn.String(), "lateTrials": b.LateTrials}).Warn("part of prompts blocked")
		}
	}
	for _, b := range last.Blocks {
		if !slices.ContainsFunc(blocks, func(x quarantine.Block) bool { return x.Part == b.Part }) {
			h.Logger.WithFields(log.Fields{"service": b.Part.Service, "part": b.Part.ID}).Info("part of prompts no longer blocked")
		}
	}
}

// handleCrashes handles control.MethodCrashes on the leader of the fleet group.
func (h *Host) handleCrashes(_ context.Context, in *control.Crashes) (*control.CrashesReply, error) {
	term, leads := h.leadsFleet()
	table := h.quarantine.tableOf(term)
	if !leads || table == nil {
		return &control.CrashesReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	released := table.Add(&in.Report)
	for _, parts := range in.ReturnedTrials {
		table.ReturnTrial(parts)
		h.Logger.WithField("parts", parts).Info("trial of a part of prompts returned, it reached no target")
	}
	h.updateQuarantine()
	granted := len(in.Trial) > 0 && table.GrantTrial(in.Trial)
	if granted {
		h.Logger.WithField("parts", in.Trial).Info("trial of a part of prompts granted")
		// The count of trials goes out before the trial does.
		h.updateQuarantine()
	}
	return &control.CrashesReply{Term: term, Released: released, TrialGranted: granted}, nil
}

// handleLift handles control.MethodLift on the leader of the fleet group.
func (h *Host) handleLift(_ context.Context, in *control.Lift) (*control.LiftReply, error) {
	term, leads := h.leadsFleet()
	table := h.quarantine.tableOf(term)
	if !leads || table == nil {
		return &control.LiftReply{Routing: h.routing(control.FleetGroup)}, nil
	}
	lifted := table.Lift(in.Parts)
	for _, p := range lifted {
		h.Logger.WithFields(log.Fields{"service": p.Service, "part": p.ID}).Warn("block lifted by an operator")
	}
	h.updateQuarantine()
	return &control.LiftReply{Lifted: lifted, Quarantine: h.Quarantine(h.Clock.Now())}, nil
}
