package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"orchidjunction/concurrent"
	"orchidjunction/rpc"
)

// Sweep is a set of points that differ in one size.
type Sweep struct {
	Name   string
	Along  string
	Points []Point
}

// Run is a sweep with its results.
type Run struct {
	Name       string
	Along      string
	Machine    string
	Processors int
	Results    []*Result
}

var middle = Point{
	Cores:    3,
	Daemons:  48,
	Backends: 100,
	Routes:   100,
	Services: 50,
	Tenants:  100,
	Active:   10,
	Apply:    ApplyLay,
	Seconds:  10,
	Changes:  5,
}

func along(set func(point *Point, size int), sizes ...int) []Point {
	points := []Point{}
	for _, size := range sizes {
		point := middle
		set(&point, size)
		points = append(points, point)
	}
	return points
}

// Sweeps are those that the tables of the page are made from.
var Sweeps = []Sweep{
	{"daemons", "Daemons", along(func(point *Point, size int) { point.Daemons, point.Apply = size, ApplyIndex }, 12, 48, 192, 768)},
	{"daemons-slowed", "Daemons", along(func(point *Point, size int) {
		point.Daemons, point.Apply, point.SlowUs, point.Changes = size, ApplyIndex, 1000, 1
	}, 12, 48, 96, 192)},
	{"daemons-laid", "Daemons", along(func(point *Point, size int) { point.Daemons = size }, 12, 48, 192, 768)},
	{"backends", "Backends", along(func(point *Point, size int) { point.Backends, point.Daemons = size, 12 }, 100, 1000, 10000, 85000)},
	{"routes", "Routes", along(func(point *Point, size int) { point.Routes, point.Daemons = size, 12 }, 1000, 10000, 40000, 130000)},
	{"tenants", "Tenants", along(func(point *Point, size int) { point.Tenants, point.Daemons = size, 6 }, 1000, 10000, 100000, 610000)},
	{
		"usage",
		"Active",
		along(func(point *Point, size int) { point.Active, point.Tenants, point.Changes = size, 10000, 1 }, 0, 10, 50, 200),
	},
	{"cores", "Cores", along(func(point *Point, size int) { point.Cores, point.Daemons = size, 48 }, 3, 5, 7, 9)},
}

// Size returns the size that a sweep varies.
func (point *Point) Size(along string) float64 {
	return float64(
		map[string]int{"Daemons": point.Daemons, "Backends": point.Backends, "Routes": point.Routes, "Tenants": point.Tenants, "Active": point.Active, "Cores": point.Cores}[along],
	)
}

// Play measures a sweep and writes the results to the folder after each point.
func (sweep *Sweep) Play(folder string, port int, goroutines *concurrent.Group, progress io.Writer) error {
	played := &Run{
		Name:       sweep.Name,
		Along:      sweep.Along,
		Machine:    "shared with benchmarks and builds while this ran",
		Processors: Processors(),
	}
	for _, point := range sweep.Points {
		result := Measure(point, port, goroutines)
		played.Results = append(played.Results, result)
		_, _ = fmt.Fprintf(
			progress,
			"%s %v: leader %.3f, follower %.3f, daemon %.5f of a core; daemon %.0f bytes/s in, %.0f out; changes %v; failed %v\n",
			sweep.Name,
			point.Size(sweep.Along),
			result.Steady[leaderRole].Processor,
			result.Steady[followerRole].Processor,
			result.Steady[daemonRole].Processor,
			result.Steady[daemonRole].BytesIn,
			result.Steady[daemonRole].BytesOut,
			result.Changes,
			result.Failed,
		)
		if err := write(folder, sweep.Name, played); err != nil {
			return err
		}
		if goroutines.Stopping() {
			return rpc.Errorf(rpc.Stopping, "stopped")
		}
	}
	return nil
}

func write(folder, name string, value any) error {
	body, err := json.MarshalIndent(value, "", " ")
	if err == nil {
		err = os.MkdirAll(folder, 0o755)
	}
	if err == nil {
		err = os.WriteFile(filepath.Join(folder, name+".json"), append(body, '\n'), 0o644)
	}
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%s: %v", name, err)
	}
	return nil
}

func read(folder, name string, value any) error {
	body, err := os.ReadFile(filepath.Join(folder, name+".json"))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		return rpc.Errorf(rpc.NotFound, "%s: %v", name, err)
	}
	return nil
}
