package hostproxy

import (
	"maps"
	"testing"
	"time"
)

// Counts fall into the window in which the request began, and old windows go.
func TestMeterWindows(test *testing.T) {
	now := int64(50_000)
	meter := newUsageMeter(5*time.Second, func() int64 { return now })
	meter.count("a", 0)
	meter.count("a", time.Millisecond)
	meter.count("b", 5*time.Second+time.Millisecond)
	meter.count("", 0)
	now += 4999
	meter.count("a", 0)
	now++
	meter.count("a", 0)
	want := map[int64]map[string]uint64{8: {"b": 1}, 9: {"a": 1}, 10: {"a": 2}, 11: {"a": 1}}
	all := meter.Windows()
	for index, window := range all {
		if !maps.Equal(window.Tenants, want[window.Window]) || index > 0 && all[index-1].Window >= window.Window {
			test.Errorf("window %d: %v", window.Window, window.Tenants)
		}
	}
	if len(all) != len(want) {
		test.Errorf("%d windows", len(all))
	}
	all[0].Tenants["b"] = 99
	now += 30_000
	meter.count("c", 0)
	for _, window := range meter.Windows() {
		if window.Window <= 17-retainedWindows || window.Tenants["b"] == 99 {
			test.Errorf("window %d is kept: %v", window.Window, window.Tenants)
		}
	}
	none := newUsageMeter(0, func() int64 { return now })
	none.count("a", 0)
	if len(none.Windows()) != 0 {
		test.Error("counted without windows")
	}
}

// What may have run counts, what was refused or never sent does not.
func TestMeteredAttempts(test *testing.T) {
	for name, play := range map[string]struct {
		does handler
		want uint64
	}{
		"well": {succeed, 1}, "shed": {shed, 0}, "misdirected": {misdirected, 0}, "reset": {resetAfterReading, 1}, "silence": {neverRespond, 1}, "own 500": {respondStatus("500 Internal Server Error"), 1},
		"streamed": {respondLarge(2*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false), 1}, "cut": {truncatedBody, 1},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleByDefault(play.does)
			env.keyed()
			client := env.client()
			defer client.conn.Close()
			for _, ask := range []struct{ path, key string }{{"/once/a", "k1"}, {"/once/a", "k9"}, {"/none/a", "k1"}, {"/open/a", "k9"}} {
				client := env.client()
				client.roundTrip("GET", rawRequest("GET", ask.path, env.newID(), "Authorization: Key "+ask.key+"\r\n", ""))
				client.conn.Close()
			}
			total := uint64(0)
			for _, window := range env.proxy.Windows() {
				total += window.Tenants["first"]
				if len(window.Tenants) != 1 {
					test.Errorf("%s: %v", name, window.Tenants)
				}
			}
			if total != play.want {
				test.Errorf("%s: counted %d", name, total)
			}
		})
	}
}

// A request counts in the window in which it began, however long it takes.
func TestLongRequestCountsWhereItBegan(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(delayed(800*time.Millisecond, succeed))
		env.keyed()
		env.goroutines.Sleep(5*time.Second - time.Duration(time.Now().UnixMilli()%5000)*time.Millisecond - 400*time.Millisecond)
		number := time.Now().UnixMilli() / 5000
		client := env.client()
		defer client.conn.Close()
		client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "Authorization: Key k1\r\n", ""))
		if all := env.proxy.Windows(); len(all) != 1 || all[0].Window != number {
			test.Errorf("%v, not in %d", all, number)
		}
	})
}

// A request that waits for its answer counts soon after it was sent; one refused
// late stands for the tenant's next.
func TestMeterCountsWhatIsUnderWay(test *testing.T) {
	now := int64(50_000)
	meter := newUsageMeter(5*time.Second, func() int64 { return now })
	total := func() uint64 {
		sum := uint64(0)
		for _, window := range meter.Windows() {
			sum += window.Tenants["a"]
		}
		return sum
	}
	slow, refused := meter.begin("a"), meter.begin("a")
	for _, step := range []struct {
		after int64
		do    func()
		want  uint64
	}{
		{0, func() {}, 0},
		{assumedStartedMs - 1, func() {}, 0},
		{1, func() {}, 2},
		{5000, func() { meter.finish(slow, true) }, 2},
		{0, func() { meter.finish(refused, false) }, 2},
		{0, func() { meter.finish(meter.begin("a"), true) }, 2},
		{0, func() { meter.finish(meter.begin("a"), true) }, 3},
		{0, func() { meter.finish(meter.begin("a"), false) }, 3},
	} {
		now += step.after
		step.do()
		if got := total(); got != step.want {
			test.Errorf("after %d ms: %d, want %d", now-50_000, got, step.want)
		}
	}
	if len(meter.running) != 0 {
		test.Errorf("%d still run", len(meter.running))
	}
}
