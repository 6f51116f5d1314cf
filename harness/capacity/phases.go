package capacity

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"time"

	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// settle waits until no table was made for a while, or at most so long that a
// storm is measured as one.
func (bench *bench) settle() {
	tables, since := uint64(0), time.Now()
	for end := since.Add(settleMost); time.Since(since) < settleQuiet && time.Now().Before(end); {
		made := uint64(0)
		for _, one := range bench.cores {
			reading := Reading{}
			if getJSON(one.report, "/reading", &reading) == nil {
				made += reading.Counts["tables"]
			}
		}
		if made != tables {
			tables, since = made, time.Now()
		}
		if !bench.goroutines.Sleep(200 * time.Millisecond) {
			return
		}
	}
}

func (bench *bench) steady() (err error) {
	bench.settle()
	bench.result.Steady, err = bench.over(func() error {
		bench.goroutines.Sleep(bench.span())
		return nil
	})
	return err
}

// change sends small patches, one a second, and waits until each is in force.
func (bench *bench) change() (err error) {
	bench.result.Changing, err = bench.over(func() error {
		for range bench.point.Changes {
			begin := time.Now()
			spread, err := bench.patch()
			if err != nil {
				return err
			}
			bench.result.Changes = append(bench.result.Changes, spread)
			bench.goroutines.Sleep(time.Second - time.Since(begin))
		}
		return nil
	})
	return err
}

func (bench *bench) patch() (Spread, error) {
	changed := routeOf(int(bench.version)%bench.point.Routes, bench.point.Services)
	changed.TimeoutMs += int(bench.version)
	begin := time.Now()
	serial, err := bench.order(
		&routing.Change{
			Version: bench.version + 1,
			Base:    bench.version,
			Digest:  strconv.FormatUint(bench.version+1, 10),
			Patch:   &routing.Patch{Routes: []routing.Route{changed}},
		},
	)
	if err != nil {
		return Spread{}, err
	}
	times := []int64{}
	err = bench.until(30*time.Second, fmt.Sprintf("serial %d in force everywhere", serial), func() bool {
		times = bench.applied(serial)
		return len(times) >= bench.point.Daemons
	})
	if err != nil {
		return Spread{}, rpc.WithPrefix(fmt.Sprintf("%d of %d daemons", len(times), bench.point.Daemons), err)
	}
	return spreadOf(times, begin), nil
}

func spreadOf(times []int64, begin time.Time) Spread {
	at := func(part float64) float64 {
		return float64(times[min(len(times)-1, int(part*float64(len(times))))]-begin.UnixMicro()) / 1000
	}
	return Spread{Half: at(0.5), Most: at(0.99), All: at(1)}
}

func (bench *bench) applied(serial uint64) []int64 {
	all := []int64{}
	for _, one := range bench.simulated {
		times := []int64{}
		if getJSON(one.report, "/applied?serial="+strconv.FormatUint(serial, 10), &times) != nil {
			return nil
		}
		all = append(all, times...)
	}
	slices.Sort(all)
	return all
}

// restart ends a tenth of the daemons at once and starts them anew.
func (bench *bench) restart() (err error) {
	bench.result.Restarting, err = bench.over(func() error {
		begin := time.Now()
		for _, one := range bench.simulated {
			count := max(1, bench.point.Daemons/len(bench.simulated)/10)
			bench.result.Restarted += count
			done := false
			if err := getJSON(one.report, "/restart?count="+strconv.Itoa(count), &done); err != nil {
				return err
			}
		}
		if err := bench.until(60*time.Second, "readiness after restarts", bench.ready); err != nil {
			return err
		}
		bench.result.ReadyMs = float64(time.Since(begin).Microseconds()) / 1000
		bench.goroutines.Sleep(3*time.Second - time.Since(begin))
		return nil
	})
	return err
}

// kill ends the leader, and sends a change as soon as another one takes it.
func (bench *bench) kill() error {
	leader := bench.leader()
	if leader == nil {
		return rpc.Errorf(rpc.NoLeader, "nobody to kill")
	}
	begin := time.Now()
	leader.end(syscall.SIGKILL)
	spread, err := bench.patch()
	bench.result.Killed = spread
	bench.result.KilledMs = float64(time.Since(begin).Milliseconds())
	return err
}
