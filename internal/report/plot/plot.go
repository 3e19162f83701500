// Package plot draws reports as SVG or PNG files.
package plot

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	reportburn "rhubarbgate.example/rhubarbgate/internal/report/burn"
)

const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
	// maxSeries bounds the lines in one plot: those that burn fastest.
	maxSeries = 8
)

// Burn writes a bar chart of the burn rates to a file; its ending names the format.
func Burn(path string, r *reportburn.Report) error {
	p := plot.New()
	p.Title.Text = "Error budget burn at " + r.At.Format(time.RFC3339)
	p.Y.Label.Text = "burn rate (1 spends the budget exactly)"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	lines := fastest(r.Lines)
	var names []string
	barWidth := width / vg.Length(3*len(reportburn.Windows)*max(len(lines), 1))
	for i, l := range lines {
		names = append(names, l.Workspace+"\n"+l.Objective+"/"+l.Part)
		if err := addBars(p, i, l, barWidth); err != nil {
			return errors.Trace(err)
		}
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -1, float64(max(len(names), 1))
	return errors.Trace(p.Save(width, height, path))
}

// fastest returns the lines with the highest burn over the second window.
func fastest(lines []reportburn.Line) []reportburn.Line {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b reportburn.Line) int { return cmp.Compare(b.Windows[1].Rate, a.Windows[1].Rate) })
	return sorted[:min(len(sorted), maxSeries)]
}

func addBars(p *plot.Plot, x int, l reportburn.Line, barWidth vg.Length) error {
	for k, w := range l.Windows {
		b, err := plotter.NewBarChart(plotter.Values{w.Rate}, barWidth)
		if err != nil {
			return errors.Trace(err)
		}
		b.XMin = float64(x)
		b.Offset = barWidth * vg.Length(float64(k)-float64(len(l.Windows)-1)/2)
		b.Color = plotutil.Color(k)
		p.Add(b)
		if x == 0 {
			p.Legend.Add(w.Length.String(), b)
		}
	}
	return nil
}
