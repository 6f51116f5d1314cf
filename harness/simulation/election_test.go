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
	seeds = flag.Int("seeds", 2, "how many seeds a simulated run takes")
	first = flag.Int("seed", 1, "the first of them")
	loud  = flag.Bool("loud", false, "show the programs' logs")
)

func TestMain(main *testing.M) {
	flag.Parse()
	if raceEnabled && *seeds == 2 {
		*seeds = 1
	}
	if !*loud {
		klog.LogToStderr(false)
		klog.SetOutput(io.Discard)
	}
	os.Exit(main.Run())
}

// each plays one world per seed and shows what it broke.
func each(test *testing.T, play func(test *testing.T, seed uint64)) {
	eachOf(test, *seeds, play)
}

// eachOf is each for another number of seeds.
func eachOf(test *testing.T, count int, play func(test *testing.T, seed uint64)) {
	for seed := *first; seed < *first+count; seed++ {
		test.Run(fmt.Sprint(seed), func(test *testing.T) {
			if !raceEnabled {
				test.Parallel()
			}
			synctest.Test(test, func(test *testing.T) { play(test, uint64(seed)) })
		})
	}
}

func (world *World) report(test *testing.T) {
	test.Helper()
	for _, broken := range world.Violations {
		test.Error(broken)
	}
}

// long leaves a long run to the tests without the race detector, which looks at
// memory, not at odds: TestEverythingAtOnce goes the same ways under it.
func long(test *testing.T) {
	test.Helper()
	if raceEnabled {
		test.Skip("runs without the race detector")
	}
}

// up starts cores and daemons and puts the first settings in force.
func (world *World) up(test *testing.T, daemons int) {
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
		test.Fatal("daemons not ready")
	}
}

func TestChaosKeepsWhatOperatorsWereTold(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3+2*int(seed%5/4))
		defer world.Close()
		world.up(test, 3)
		ledger := world.StartOperators(3, 150*time.Millisecond)
		faults := world.NewRandomFaults()
		faults.Run(chaosSpan())
		ledger.Stop()
		world.judge(ledger)
		if len(ledger.Acked) < 10 {
			world.reportViolation("only %d changes acknowledged", len(ledger.Acked))
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
			"%d acknowledged, %d refused, %d unknown, %d leaderships, longest answer %.0f ms, faults %v",
			len(ledger.Acked),
			len(ledger.Refused),
			len(ledger.Unknown),
			len(world.Leaderships),
			checker.Quantile(ledger.AnswerMs, 1),
			faults.Injected,
		)
		world.report(test)
	})
}

// chaosSpan is shorter under the race detector, which looks at memory, not at odds.
func chaosSpan() time.Duration {
	if raceEnabled {
		return 10 * time.Second
	}
	return 40 * time.Second
}
