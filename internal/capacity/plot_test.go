package capacity

import (
	"flag"
	"path/filepath"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gotest.tools/v3/assert"
)

var redrawPlots = flag.Bool("plots", false, "redraw the plots in docs/measurements")

// TestPlots redraws the plots in docs/measurements from the measurements if the flag -plots
// is set.
func TestPlots(t *testing.T) {
	if !*redrawPlots {
		t.Skip("run with -plots")
	}
	data, err := Load(folder)
	assert.NilError(t, err)
	nodes := func(r ScaleRun) float64 { return float64(r.Nodes) }
	drawPlot(t, "bytes.png", "Control bytes of a node", "nodes of its data centre", "bytes a second", data, nodes, map[string]func(ScaleRun) float64{
		"node": func(r ScaleRun) float64 { return r.NodeBytes }})
	drawPlot(t, "processor.png", "Control processor time", "nodes of the data centre", "% of a core", data, nodes, map[string]func(ScaleRun) float64{
		"node":   func(r ScaleRun) float64 { return r.NodeCPU },
		"relay":  func(r ScaleRun) float64 { return r.RelayCPU },
		"leader": func(r ScaleRun) float64 { return r.LeaderCPU }})
	drawPlot(t, "in-force.png", "From accepted to in force", "nodes of the data centre", "ms", data, nodes, map[string]func(ScaleRun) float64{
		"p50": func(r ScaleRun) float64 { return r.InForceP50 },
		"p99": func(r ScaleRun) float64 { return r.InForceP99 },
		"max": func(r ScaleRun) float64 { return r.InForceMax }})
}

func drawPlot(t *testing.T, file, title, x, y string, data *Data, over func(ScaleRun) float64, series map[string]func(ScaleRun) float64) {
	t.Helper()
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	var lines []any
	for _, name := range []string{"node", "relay", "leader", "p50", "p99", "max"} {
		value := series[name]
		if value == nil {
			continue
		}
		points := make(plotter.XYs, 0, len(data.Scale.Data))
		for _, r := range data.Scale.Data {
			points = append(points, plotter.XY{X: over(r), Y: value(r)})
		}
		lines = append(lines, name, points)
	}
	assert.NilError(t, plotutil.AddLinePoints(p, lines...))
	assert.NilError(t, p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, file)))
}
