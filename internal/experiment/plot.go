package experiment

import (
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotSpec describes the plot of an experiment: either curves of the first seed
// for some policies, or bars of one metric for all policies and variants.
type plotSpec struct {
	x, y     string
	lines    bool
	policies []string // policies whose curves are drawn
	metric   string   // metric of the bars
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// SavePlot writes the plot of r as SVG.
func (r *Result) SavePlot(path string) error {
	p := plot.New()
	spec := r.Experiment.plot
	p.Title.Text = r.Experiment.Title
	p.X.Label.Text, p.Y.Label.Text = spec.x, spec.y
	p.Legend.Top = true
	var err error
	if spec.lines {
		err = r.drawLines(p)
	} else {
		err = r.drawBars(p)
	}
	if err != nil {
		return fmt.Errorf("plot %s: %w", r.Experiment.Name, err)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (r *Result) drawLines(p *plot.Plot) error {
	p.Add(plotter.NewGrid())
	color := 0
	drawn := map[string]bool{}
	for _, name := range r.Experiment.plot.policies {
		for _, s := range r.curves[name] {
			label := name + ", " + s.name
			if s.dashed {
				label = s.name // the same for all policies
			}
			if drawn[label] {
				continue
			}
			drawn[label] = true
			points := make(plotter.XYs, len(s.x))
			for i := range points {
				points[i].X, points[i].Y = s.x[i], s.y[i]
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(color)
			if s.dashed {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			}
			color++
			p.Add(line)
			p.Legend.Add(label, line)
		}
	}
	return nil
}

func (r *Result) drawBars(p *plot.Plot) error {
	spec := r.Experiment.plot
	var variants, names []string
	values := map[[2]string]float64{}
	for _, row := range r.Rows {
		if row.Metric != spec.metric {
			continue
		}
		if !slices.Contains(variants, row.Variant) {
			variants = append(variants, row.Variant)
		}
		if !slices.Contains(names, row.Policy) {
			names = append(names, row.Policy)
		}
		values[[2]string{row.Variant, row.Policy}] = row.Median()
	}
	width := vg.Points(20)
	for i, v := range variants {
		bars := make(plotter.Values, len(names))
		for k, n := range names {
			bars[k] = values[[2]string{v, n}]
		}
		chart, err := plotter.NewBarChart(bars, width)
		if err != nil {
			return err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(variants)-1)/2)
		p.Add(chart)
		if v != "" {
			p.Legend.Add(v, chart)
		}
	}
	p.Y.Min = 0
	p.NominalX(names...)
	return nil
}
