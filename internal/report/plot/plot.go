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
	// maxLines bounds the report lines in one chart.
	maxLines = 8
)

// Burn writes a bar chart of the report's lines with the highest burn rates to a file.
// The file extension selects the format.
func Burn(path string, r *reportburn.Report) error {
	p := plot.New()
	p.Title.Text = "Error budget burn at " + r.At.Format(time.RFC3339)
	p.Y.Label.Text = "burn rate (1 spends the budget exactly)"
	p.Y.Min, p.Y.Max = 0, 1
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	lines := fastestBurning(r.Lines)
	var labels []string
	barWidth := width / vg.Length(3*len(reportburn.Windows)*max(len(lines), 1))
	for i, l := range lines {
		labels = append(labels, l.Workspace+"\n"+l.Objective+"/"+l.Part)
		if err := addBars(p, i, l, barWidth); err != nil {
			return errors.Trace(err)
		}
	}
	p.NominalX(labels...)
	p.X.Min, p.X.Max = -1, float64(max(len(labels), 1))
	return errors.Trace(p.Save(width, height, path))
}

// fastestBurning returns up to maxLines lines, sorted by their burn rate over the second
// shortest window, highest first.
func fastestBurning(lines []reportburn.Line) []reportburn.Line {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b reportburn.Line) int { return cmp.Compare(b.Windows[1].Rate, a.Windows[1].Rate) })
	return sorted[:min(len(sorted), maxLines)]
}

// addBars draws one bar per window, grouped at position x of the axis. The first group
// also fills the legend.
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
