package pick

import "rhubarbgate.example/rhubarbgate"

// WarmFirst picks warm candidates while one of them has room, and cold ones after that: a cold target
// takes few requests, and is slow to answer them.
type WarmFirst struct {
	// Picker chooses among the candidates that are left.
	Picker rhubarbgate.Picker
}

var _ rhubarbgate.Picker = (*WarmFirst)(nil)

// Pick implements rhubarbgate.Picker.
func (w *WarmFirst) Pick(r rhubarbgate.PickRequest, c []rhubarbgate.Candidate) int {
	warmCount := 0
	for _, x := range c {
		if !x.Cold {
			warmCount++
		}
	}
	if warmCount == 0 || warmCount == len(c) {
		return w.Picker.Pick(r, c)
	}
	useWarm := warmHaveRoom(c)
	var list []rhubarbgate.Candidate
	var indexes []int
	for i, x := range c {
		if x.Cold != useWarm {
			list, indexes = append(list, x), append(indexes, i)
		}
	}
	return indexes[w.Picker.Pick(r, list)]
}

// warmHaveRoom reports whether a slot is likely to be free at a warm candidate. An entry has recent reports of some
// only; what they show is taken to hold for the others, as all entries spread requests evenly.
func warmHaveRoom(c []rhubarbgate.Candidate) bool {
	reported, unreported := false, false
	for _, x := range c {
		slots := max(x.Slots, 1)
		switch {
		case x.Cold:
		case x.HasReport && max(x.InFlight, x.Reported)+x.Queued < slots:
			return true
		case x.HasReport:
			reported = true
		case x.InFlight < slots:
			unreported = true
		}
	}
	return unreported && !reported
}
