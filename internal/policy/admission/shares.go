package admission

import (
	"math"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
)

const (
	// shareWindow is the time constant of the moving sums of demand and use.
	shareWindow = 2 * time.Second
	// spareUse is the use in requests by which a workspace may exceed its share before its wait
	// is limited. Use is a small whole number at an entry; without the allowance the chance
	// order of arrivals would count as use beyond the share.
	spareUse = 0.5
	// dividedShare is the part of the recent admissions that is divided. The rest lets the
	// workspaces beyond their share give way before the others are refused.
	dividedShare = 0.8
	// maxWorkspaces bounds the workspaces in memory for each service. Further ones share one state.
	maxWorkspaces = 4096
	// workspaceExpiry is the time without a request after which a workspace is forgotten.
	workspaceExpiry = 30 * time.Second
	// sweepInterval is the time between two searches for expired workspaces.
	sweepInterval = 5 * time.Second
	// maxLevelPasses bounds the passes of the max-min division, which usually takes 3 to 6.
	maxLevelPasses = 16
)

// workspace is the state of one workspace at one service.
type workspace struct {
	refusals
	name     string
	weight   float64
	inFlight int
	// demand and use are moving sums of the requests that arrived and were sent, as of sumsAt.
	demand, use float64
	sumsAt      time.Duration
	lastSeen    time.Duration
	// limitedUntil is until when the workspace counts as limited, after a refusal for its use.
	limitedUntil       time.Duration
	sent, refusedTotal uint64
}

// decay brings the sums up to date.
func (w *workspace) decay(now time.Duration) {
	if d := now - w.sumsAt; d > 0 {
		keep := math.Exp(-d.Seconds() / shareWindow.Seconds())
		w.demand *= keep
		w.use *= keep
		w.sumsAt = now
	}
}

func (w *workspace) recordDemand(now time.Duration) {
	w.decay(now)
	w.demand++
}

func (w *workspace) recordUse(now time.Duration) {
	w.decay(now)
	w.use++
	w.sent++
}

// shares divides the recent admissions of a service among workspaces.
type shares struct {
	workspaces map[string]*workspace
	list       []*workspace
	others     workspace // shared by workspaces beyond maxWorkspaces
	level      float64   // max-min fair use of a workspace of weight 1
	outdated   bool      // the level is of an earlier bucket
	sweepAt    time.Duration
}

// workspace returns the state of the request's workspace.
func (s *shares) workspace(r rhubarbgate.AdmissionRequest, now time.Duration) *workspace {
	if now >= s.sweepAt {
		s.sweep(now)
	}
	w := s.workspaces[r.Workspace]
	if w == nil {
		w = &s.others
		if len(s.list) < maxWorkspaces {
			w = &workspace{name: strings.Clone(r.Workspace), sumsAt: now}
			s.workspaces[w.name] = w
			s.list = append(s.list, w)
		}
	}
	w.lastSeen = now
	w.weight = r.Weight
	if !(w.weight > 0) {
		w.weight = 1
	}
	return w
}

// sweep forgets workspaces without recent requests.
func (s *shares) sweep(now time.Duration) {
	s.sweepAt = now + sweepInterval
	kept := s.list[:0]
	for _, w := range s.list {
		if w.inFlight == 0 && now-w.lastSeen > workspaceExpiry {
			delete(s.workspaces, w.name)
			continue
		}
		kept = append(kept, w)
	}
	clear(s.list[len(kept):])
	s.list = kept
}

// useAllowance returns the part of the allowed wait that the workspace's recent use leaves: all
// within its share, none from twice its share on.
func (s *shares) useAllowance(w *workspace, now time.Duration) float64 {
	if s.outdated {
		s.updateLevel(now)
		s.outdated = false
	}
	w.decay(now)
	share := s.level*w.weight + spareUse
	return min(max(2-w.use/share, 0), 1)
}

// updateLevel computes the max-min fair level: if each workspace gets the lesser of its demand
// and the level times its weight, the sum is what was sent recently. It is infinite if nothing
// was refused.
func (s *shares) updateLevel(now time.Duration) {
	left, weights := 0.0, 0.0
	demand := 0.0
	for _, w := range s.list {
		w.decay(now)
		left += w.use
		demand += w.demand
		weights += w.weight
	}
	s.level = math.Inf(1)
	left *= dividedShare
	if weights == 0 || demand <= left {
		return
	}
	// Each pass takes out the workspaces whose demand is below the level of the previous one.
	sent, all := left, weights
	level := left / weights
	for range maxLevelPasses {
		left, weights = sent, all
		for _, w := range s.list {
			if w.demand <= level*w.weight {
				left -= w.demand
				weights -= w.weight
			}
		}
		if weights <= 0 {
			return
		}
		next := left / weights
		if next <= level*(1+1e-6) {
			break
		}
		level = next
	}
	s.level = level
}
