package load

import (
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the canvas with both plots.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 9 * vg.Inch
)

// WritePlot writes an SVG file with two plots: the latency of each tier by percentile,
// and the good requests of each tier by second.
func (r Result) WritePlot(path, title string) (err error) {
	latency, err := r.latencyPlot(title)
	if err != nil {
		return err
	}
	goodput, err := r.goodputPlot()
	if err != nil {
		return err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	plots := [][]*plot.Plot{{latency}, {goodput}}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter}
	for row, canvases := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[row][0].Draw(canvases[0])
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	_, err = canvas.WriteTo(file)
	return err
}

func (r Result) latencyPlot(title string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "time to the whole answer, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for i, tier := range r.Tiers {
		var points plotter.XYs
		for _, bracket := range tier.distribution {
			points = append(points, plotter.XY{
				X: bracket.Quantile, Y: max(1, float64(bracket.ValueAt)/microsPerMilli),
			})
		}
		if err := addLine(p, i, tier.Name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (r Result) goodputPlot() (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "s since the start"
	p.Y.Label.Text = "good requests a second"
	p.Legend.Top = true
	for i, tier := range r.Tiers {
		var points plotter.XYs
		for second, n := range tier.GoodBySecond {
			points = append(points, plotter.XY{X: float64(second), Y: float64(n)})
		}
		if err := addLine(p, i, tier.Name, points); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
