package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"orchidjunction/rpc"
)

func linear(processorEach float64) *Run {
	run := &Run{Name: "daemons", Along: "Daemons"}
	for _, size := range []int{12, 48, 192, 768} {
		point := middle
		point.Daemons, point.Changes = size, 1
		run.Results = append(run.Results, &Result{
			Point:    point,
			Steady:   map[string]Rates{leaderRole: {Processor: 0.02 + processorEach*float64(size)}, daemonRole: {Processor: 0.002}},
			Changing: map[string]Rates{leaderRole: {Processor: 0.5}},
			Changes:  []Spread{{Half: 1, Most: 2, All: 3}},
		})
	}
	return run
}

func TestWritePageFillsItsPlaceOnly(test *testing.T) {
	folder := test.TempDir()
	page := filepath.Join(folder, "page.md")
	writeText(test, page, "before\n"+pageBegin+"\nold\n"+pageEnd+"\nafter\n")
	if err := write(folder, "daemons", linear(0.001)); err != nil {
		test.Fatal(err)
	}
	if err := write(
		folder,
		"state",
		&States{Results: []State{{Kind: "routes", Size: 1, PackedKB: 1}, {Kind: "routes", Size: 2, PackedKB: 2}}},
	); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if err := WritePage(page, folder); err != nil {
			test.Fatal(err)
		}
	}
	body, _ := os.ReadFile(page)
	text := string(body)
	if !strings.HasPrefix(text, "before\n") || !strings.HasSuffix(text, "\nafter\n") || strings.Contains(text, "\nold\n") ||
		strings.Count(text, pageBegin) != 1 {
		test.Error("what stands around the tables changed, or what was in them stayed")
	}
	if !strings.Contains(text, "not measured") {
		test.Error("runs that are not there are not called so")
	}
	if !strings.Contains(text, "| 16 cores |") {
		test.Error("16,000 daemons at 1 ms are not 16 cores")
	}
	if _, err := os.Stat(filepath.Join(folder, "daemons.png")); err != nil {
		test.Error(err)
	}
	writeText(test, page, "no place")
	if err := WritePage(page, folder); err == nil || rpc.CodeOf(err) != rpc.BadFlag {
		test.Errorf("%v for a page without a place", err)
	}
	if err := WritePage(page, test.TempDir()); err == nil || rpc.CodeOf(err) != rpc.NotFound {
		test.Errorf("%v without results", err)
	}
}

// A point that did not get so far adds nothing to a line.
func TestFitLeavesOutWhatFailed(test *testing.T) {
	run := linear(0.001)
	run.Results = append(run.Results, &Result{Point: Point{Daemons: 3000, Changes: 1}, Failed: []string{"not ready"}})
	found := &evidence{runs: map[string]*Run{"daemons": run}, states: &States{}}
	for name, of := range map[string]quantity{"steady": steady(leaderRole, processor), "change": perChange(leaderRole, processor), "everywhere": everywhere} {
		if fit, measured := found.fit("daemons", of); !measured || fit.Points != 4 {
			test.Errorf("%s: %+v, measured %v", name, fit, measured)
		}
	}
	if _, measured := found.fit("no such run", everywhere); measured {
		test.Error("a run that is not there was measured")
	}
}

func TestConfigsOfAllSizesAreSound(test *testing.T) {
	for _, sweep := range Sweeps {
		for _, point := range sweep.Points[:1] {
			if err := config(1, point.Routes, point.Services, point.Tenants).Check(); err != nil {
				test.Errorf("%s: %v", sweep.Name, err)
			}
		}
		for index := range sweep.Points {
			if sweep.Points[index].Size(sweep.Along) <= 0 && sweep.Name != "usage" {
				test.Errorf("%s: point %d has no size along %s", sweep.Name, index, sweep.Along)
			}
		}
	}
}

// A point where tables follow each other without end is shown, but on no line.
func TestStormsAreOnNoLine(test *testing.T) {
	run := linear(0.001)
	last := run.Results[len(run.Results)-1]
	last.Steady[daemonRole] = Rates{BytesIn: stormMost + 1}
	found := &evidence{runs: map[string]*Run{"daemons": run}, states: &States{}}
	if fit, _ := found.fit("daemons", steady(leaderRole, processor)); fit.Points != 3 {
		test.Errorf("%d points", fit.Points)
	}
	if !strings.Contains(found.points(), "**storm**") {
		test.Error("a storm is not shown")
	}
}

func writeText(test *testing.T, path, text string) {
	test.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		test.Fatal(err)
	}
}
