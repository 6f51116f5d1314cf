package capacity

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"orchidjunction/rpc"
)

var plotted = []struct {
	run, title, unit string
	roles            []string
	of               func(Rates) float64
}{
	{"daemons", "Processor by daemons, nothing changes", "cores", []string{leaderRole, followerRole, daemonRole}, processor},
	{"backends", "Processor by backends, nothing changes", "cores", []string{leaderRole, followerRole, daemonRole}, processor},
	{"usage", "Bytes a second out of a daemon by tenants counted in a window", "bytes/s", []string{daemonRole}, bytesOut},
	{
		"backends-before",
		"Processor by backends, before the list was kept sorted",
		"cores",
		[]string{leaderRole, followerRole, daemonRole},
		processor,
	},
	{"cores", "Processor by cores, nothing changes", "cores", []string{leaderRole, followerRole}, processor},
}

// plot draws each run's points; two runs of the leader beside each other show
// what a slowed mechanism does.
func (found *evidence) plot() error {
	for _, each := range plotted {
		run := found.runs[each.run]
		if run == nil {
			continue
		}
		lines := []any{}
		for _, role := range each.roles {
			lines = append(lines, role, pointsOf(run, steady(role, each.of)))
		}
		if slowedRun := found.runs[each.run+"-slowed"]; slowedRun != nil {
			lines = append(lines, "leader, slowed on purpose", pointsOf(slowedRun, steady(leaderRole, each.of)))
		}
		if err := found.draw(each.run, each.title, run.Along, each.unit, lines); err != nil {
			return err
		}
	}
	for _, name := range []string{"routes", "tenants", "daemons"} {
		if run := found.runs[name]; run != nil {
			points := []any{"all daemons", pointsOf(run, everywhere)}
			err := found.draw(name+"-change", "Milliseconds until a change is in force everywhere", run.Along, "ms", points)
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func pointsOf(run *Run, of quantity) plotter.XYs {
	points := plotter.XYs{}
	for _, result := range run.Results {
		if value, measured := of(result); measured {
			points = append(points, plotter.XY{X: result.Point.Size(run.Along), Y: value})
		}
	}
	return points
}

func (found *evidence) draw(name, title, along, unit string, lines []any) error {
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = title, along, unit
	drawn.Legend.Top, drawn.Legend.Left = true, true
	err := plotutil.AddLinePoints(drawn, lines...)
	if err == nil {
		err = drawn.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(found.folder, name+".png"))
	}
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%s: %v", name, err)
	}
	return nil
}
