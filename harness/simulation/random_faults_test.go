package simulation

import (
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/harness/checker"
)

var (
	seedsPerTest = flag.Int("seeds", 2, "number of seeds per simulated test")
	firstSeed    = flag.Int("seed", 1, "first seed")
	showLogs     = flag.Bool("loud", false, "show the logs of the simulated processes")
)

func TestMain(main *testing.M) {
	flag.Parse()
	if raceEnabled && *seedsPerTest == 2 {
		*seedsPerTest = 1
	}
	if !*showLogs {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(main.Run())
}

// forEachSeed runs a test once per seed, each in virtual time of its own.
func forEachSeed(test *testing.T, run func(test *testing.T, seed uint64)) {
	forSeeds(test, *seedsPerTest, run)
}

// forSeeds runs a test for count seeds.
func forSeeds(test *testing.T, count int, run func(test *testing.T, seed uint64)) {
	for seed := *firstSeed; seed < *firstSeed+count; seed++ {
		test.Run(fmt.Sprint(seed), func(test *testing.T) {
			if !raceEnabled {
				test.Parallel()
			}
			synctest.Test(test, func(test *testing.T) { run(test, uint64(seed)) })
		})
	}
}

func (world *World) reportFailures(test *testing.T) {
	test.Helper()
	for _, failure := range world.Violations {
		test.Error(failure)
	}
}

// skipUnderRaceDetector skips a long test under the race detector, which needs the code paths
// but not many random cases: TestEverythingAtOnce covers the same paths under it.
func skipUnderRaceDetector(test *testing.T) {
	test.Helper()
	if raceEnabled {
		test.Skip("runs without the race detector")
	}
}

// startSystem starts cores and daemons and puts the first settings in force.
func (world *World) startSystem(test *testing.T, daemons int) {
	test.Helper()
	world.PublishBackends()
	for index := range world.Cores {
		world.StartCore(index)
	}
	zones := []string{"e1", "w1", "s1"}
	for index := range daemons {
		kind := "proxy"
		if index%4 == 0 {
			kind = "dir"
		}
		world.StartDaemon(world.AddDaemon(kind, zones[index%3]))
	}
	world.putFirstSettings(test)
	if !world.Until(10*time.Second, world.daemonsReady) {
		test.Fatal("daemons not ready within 10 s")
	}
}

func TestAcknowledgedChangesSurviveRandomFaults(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3+2*int(seed%5/4))
		defer world.Close()
		world.startSystem(test, 3)
		ledger := world.StartOperators(3, 150*time.Millisecond)
		faults := world.NewRandomFaults()
		faults.Run(faultDuration())
		ledger.Stop()
		world.judge(ledger)
		if len(ledger.Acked) < 10 {
			world.reportViolation("only %d changes acknowledged, want at least 10", len(ledger.Acked))
		}
		last := ledger.Newest()
		if !world.Until(4*time.Second, func() bool {
			for _, daemon := range world.Daemons {
				if daemon.Daemon.Version().Serial < last {
					return false
				}
			}
			return true
		}) {
			world.reportViolation("serial %d is not in force everywhere after 4 s", last)
		}
		test.Logf(
			"%d acknowledged, %d refused, %d unknown, %d leaderships, slowest response %.0f ms, faults %v",
			len(ledger.Acked),
			len(ledger.Refused),
			len(ledger.Unknown),
			len(world.Leaderships),
			checker.Quantile(ledger.AnswerMs, 1),
			faults.Injected,
		)
		world.reportFailures(test)
	})
}

// faultDuration is shorter under the race detector, which does not need many random cases.
func faultDuration() time.Duration {
	if raceEnabled {
		return 10 * time.Second
	}
	return 40 * time.Second
}
