// Package burn computes the error budget burn rates of the service-level objectives and their alerts.
package burn

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
)

// Windows are the periods before the report over which burn rates are computed, shortest
// first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Thresholds of the alerts, as burn rates: 1 spends the budget in exactly the longest
// window. An alert requires that the rates of two windows reach its threshold.
const (
	pageBurnRate   = 14.4
	ticketBurnRate = 6.0
)

// Window is the burn rate over one of Windows, with the requests counted in it.
type Window struct {
	Length time.Duration
	Total  uint64
	Bad    uint64
	// Rate is the share of bad requests divided by the share that the goal allows. At
	// 1 the budget is spent exactly at the end of its period.
	Rate float64
}

// Line is the burn of one part of an objective in one workspace.
type Line struct {
	Workspace string
	Objective string
	// Part is Answered, FirstToken or BetweenTokens.
	Part    string
	Goal    float64 // required share of good requests
	Windows []Window
	// Alert is "page", "ticket" or empty.
	Alert string
}

// Report is the burn of all objectives at the time At.
type Report struct {
	At    time.Time
	Lines []Line
}

// New computes a report from the counts of all entries. Counts of objectives that are
// not in the list are left out.
func New(now time.Time, counts []burn.Count, objectives []rhubarbgate.Objective) *Report {
	goals := map[string]float64{}
	for _, o := range objectives {
		goals[o.Name] = o.Goal
	}
	bySeries := map[burn.Series][]burn.Count{}
	for _, c := range counts {
		bySeries[c.Series] = append(bySeries[c.Series], c)
	}
	r := &Report{At: now}
	for s, seriesCounts := range bySeries {
		name, part, _ := strings.Cut(s.Objective, "/")
		goal, ok := goals[name]
		if !ok {
			continue
		}
		r.Lines = append(r.Lines, newLine(now, s.Workspace, name, part, goal, seriesCounts))
	}
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Objective, b.Objective), cmp.Compare(a.Part, b.Part))
	})
	return r
}

func newLine(now time.Time, workspace, objective, part string, goal float64, counts []burn.Count) Line {
	l := Line{Workspace: workspace, Objective: objective, Part: part, Goal: goal}
	for _, d := range Windows {
		w := Window{Length: d}
		for _, c := range counts {
			// A count is included if any part of its period lies in the window.
			if c.Start.Add(c.Width).After(now.Add(-d)) {
				w.Total += c.Total
				w.Bad += c.Bad
			}
		}
		if w.Total > 0 {
			w.Rate = float64(w.Bad) / float64(w.Total) / (1 - goal)
		}
		l.Windows = append(l.Windows, w)
	}
	l.Alert = l.alert()
	return l
}

// alert applies multi-window rules: the long window shows that the burn is significant,
// the short one that it is still going on.
func (l *Line) alert() string {
	w := l.Windows
	switch {
	case w[0].Rate >= pageBurnRate && w[1].Rate >= pageBurnRate:
		return "page"
	case w[1].Rate >= ticketBurnRate && w[2].Rate >= ticketBurnRate:
		return "ticket"
	case w[2].Rate >= 1 && w[3].Rate >= 1:
		return "ticket"
	default:
		return ""
	}
}
