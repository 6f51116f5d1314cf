package hostproxy

import (
	"maps"
	"testing"
	"time"
)

// Requests count in the window in which they began, and old windows are dropped.
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
			test.Errorf("window %d is retained: %v", window.Window, window.Tenants)
		}
	}
	disabled := newUsageMeter(0, func() int64 { return now })
	disabled.count("a", 0)
	if len(disabled.Windows()) != 0 {
		test.Error("counted with a window length of 0")
	}
}

// Requests that may have been executed count; refused and unsent ones do not.
func TestMeteredAttempts(test *testing.T) {
	for name, testCase := range map[string]struct {
		behave handler
		want   uint64
	}{
		"success": {succeed, 1}, "shed": {shed, 0}, "misdirected": {misdirected, 0}, "reset": {resetAfterReading, 1}, "no response": {neverRespond, 1}, "backend error": {respondStatus("500 Internal Server Error"), 1},
		"streamed": {respondLarge(2*maxBufferedBodyBytes, 2*maxBufferedBodyBytes, false), 1}, "truncated": {truncatedBody, 1},
	} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleByDefault(testCase.behave)
			env.requireKeys()
			client := env.client()
			defer client.conn.Close()
			for _, sent := range []struct{ path, key string }{{"/once/a", "k1"}, {"/once/a", "k9"}, {"/none/a", "k1"}, {"/open/a", "k9"}} {
				client := env.client()
				client.roundTrip("GET", rawRequest("GET", sent.path, env.newID(), "Authorization: Key "+sent.key+"\r\n", ""))
				client.conn.Close()
			}
			total := uint64(0)
			for _, window := range env.proxy.UsageWindows() {
				total += window.Tenants["first"]
				if len(window.Tenants) != 1 {
					test.Errorf("%s: %v", name, window.Tenants)
				}
			}
			if total != testCase.want {
				test.Errorf("%s: counted %d", name, total)
			}
		})
	}
}

// A request counts in the window in which it began, however long it takes.
func TestRequestCountsInWindowOfItsStart(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").handleByDefault(delayed(800*time.Millisecond, succeed))
		env.requireKeys()
		env.goroutines.Sleep(5*time.Second - time.Duration(time.Now().UnixMilli()%5000)*time.Millisecond - 400*time.Millisecond)
		number := time.Now().UnixMilli() / 5000
		client := env.client()
		defer client.conn.Close()
		client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "Authorization: Key k1\r\n", ""))
		if all := env.proxy.UsageWindows(); len(all) != 1 || all[0].Window != number {
			test.Errorf("%v, want window %d", all, number)
		}
	})
}

// A request without a response yet counts assumedStartedMs after it was sent; if it is refused
// later, the tenant's next one is not counted.
func TestMeterCountsRequestsInFlight(test *testing.T) {
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
		test.Errorf("%d requests still running", len(meter.running))
	}
}
