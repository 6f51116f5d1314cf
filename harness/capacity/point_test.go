package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"orchidjunction/concurrent"
	"orchidjunction/rpc"
)

// TestMain lets this binary be the processes that a run starts, as ojcluster is.
func TestMain(tests *testing.M) {
	if len(os.Args) == 4 && os.Args[2] == "--spec" {
		begun := map[string]func() error{
			"scale-core": func() error {
				spec := CoreSpec{}
				if err := json.Unmarshal([]byte(os.Args[3]), &spec); err != nil {
					return rpc.Errorf(rpc.BadFlag, "%v", err)
				}
				return RunCore(spec)
			},
			"scale-hollow": func() error {
				spec := SimulatedSpec{}
				if err := json.Unmarshal([]byte(os.Args[3]), &spec); err != nil {
					return rpc.Errorf(rpc.BadFlag, "%v", err)
				}
				return RunSimulatedDaemons(spec)
			},
		}[os.Args[1]]
		if err := begun(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		os.Exit(0)
	}
	os.Exit(tests.Run())
}

// A run must be able to fail: sessions slowed on purpose raise the leader's
// slope by what is burnt on them, two a second for each daemon.
func TestSlowedSessionsRaiseTheSlope(test *testing.T) {
	if testing.Short() {
		test.Skip("starts real processes")
	}
	const slow = 20000
	slopes := map[int]float64{}
	for _, burnt := range []int{0, slow} {
		sizes, values := []float64{}, []float64{}
		for _, daemons := range []int{2, 8} {
			point := Point{
				Cores:    3,
				Daemons:  daemons,
				Backends: 20,
				Routes:   10,
				Services: 5,
				Tenants:  10,
				Active:   2,
				Apply:    ApplyIndex,
				Seconds:  3,
				Changes:  1,
				SlowUs:   burnt,
			}
			result := Measure(point, 29000, concurrent.NewGroup())
			if len(result.Failed) > 0 {
				test.Fatalf("%d daemons: %v", daemons, result.Failed)
			}
			if result.Restarted == 0 || result.ReadyMs <= 0 || result.Changes[0].All <= 0 || result.Killed.All <= 0 {
				test.Errorf("%d daemons: %+v", daemons, result)
			}
			for _, role := range []string{leaderRole, followerRole, daemonRole} {
				if rates := result.Steady[role]; rates.Processor <= 0 || rates.Messages <= 0 || rates.BytesIn <= 0 || rates.BytesOut <= 0 ||
					rates.ResidentMB <= 0 ||
					rates.Descriptors <= 0 {
					test.Errorf("%d daemons: %s %+v", daemons, role, rates)
				}
			}
			sizes, values = append(sizes, float64(daemons)), append(values, result.Steady[leaderRole].Processor)
		}
		slopes[burnt] = FitLine(sizes, values).Slope
	}
	if more := slopes[slow] - slopes[0]; more < 0.01 {
		test.Errorf("slope %f with 20 ms burnt on each session, %f without", slopes[slow], slopes[0])
	}
}
