package load

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format with plot.Save.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/corneldeal/corneldeal/lab/engine"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotStep is the time that one point of a plot stands for.
const plotStep = time.Second

// Curve holds the values of one policy, one per plot step.
type Curve struct {
	Policy string
	Points plotter.XYs
}

// TTFTCurve returns the p95 of the time to first token by time of sending.
func TTFTCurve(policy string, outcomes []Outcome, length time.Duration) Curve {
	c := Curve{Policy: policy}
	for from := time.Duration(0); from < length; from += plotStep {
		h := newHistogram()
		for i := range outcomes {
			o := &outcomes[i]
			if o.Arrival.chat() && o.First > 0 && o.Sent >= from && o.Sent < from+plotStep {
				h.add(o.ttft())
			}
		}
		if h.h.TotalCount() > 0 {
			c.Points = append(c.Points, plotter.XY{X: from.Seconds(), Y: h.ms(95)})
		}
	}
	return c
}

// Sample is the state of the ledger at one time of a run.
type Sample struct {
	At     time.Duration
	Totals engine.LedgerTotals
}

// HitCurve returns the hit rate between consecutive samples.
func HitCurve(policy string, samples []Sample) Curve {
	c := Curve{Policy: policy}
	for i := 1; i < len(samples); i++ {
		hit := samples[i].Totals.Hit - samples[i-1].Totals.Hit
		computed := samples[i].Totals.Computed - samples[i-1].Totals.Computed
		if hit+computed > 0 {
			c.Points = append(c.Points, plotter.XY{X: samples[i-1].At.Seconds(), Y: ratio(hit, hit+computed)})
		}
	}
	return c
}

// Plot writes the curves as an SVG file.
func Plot(file, title, unit string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, c := range curves {
		if len(c.Points) == 0 {
			continue
		}
		line, err := plotter.NewLine(c.Points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", c.Policy, err)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(c.Policy, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}
