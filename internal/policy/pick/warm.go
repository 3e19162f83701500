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
	cold, room := 0, false
	for _, x := range c {
		if x.Cold {
			cold++
		} else if hasRoom(x) {
			room = true
		}
	}
	if cold == 0 || cold == len(c) {
		return w.Picker.Pick(r, c)
	}
	var list []rhubarbgate.Candidate
	var indexes []int
	for i, x := range c {
		if x.Cold != room {
			list, indexes = append(list, x), append(indexes, i)
		}
	}
	return indexes[w.Picker.Pick(r, list)]
}

// hasRoom reports whether a slot of the target is likely to be free.
func hasRoom(c rhubarbgate.Candidate) bool {
	return max(c.InFlight, c.Reported)+c.Queued < max(c.Slots, 1)
}
