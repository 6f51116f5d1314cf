package hostproxy

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"
)

// metricValue returns the value of a metric in the text format, or 0 if it is missing.
func (env *testEnv) metricValue(name string) float64 {
	text := bytes.Buffer{}
	env.counters.WriteText(&text)
	found := regexp.MustCompile(`(?m)^orchidjunction_` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text.Bytes())
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		env.test.Fatal(err)
	}
	return value
}

// Request durations are split into the wait for capacity, the backends' time and the overhead of the
// proxy, which is 0 in virtual time; completed requests are counted by result.
func TestRequestMetrics(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		env.addBackend("b1").
			handleNext(delayed(300*time.Millisecond, succeed), respondStatus("500 Own"), delayed(100*time.Millisecond, shed), delayed(200*time.Millisecond, succeed))
		for _, path := range []string{"/once/a", "/once/a", "/again/a"} {
			env.get(path)
		}
		env.goroutines.Sleep(time.Second)
		for name, wanted := range map[string]float64{
			`request_seconds_count{kind="once",result="served"}`:            1,
			`request_seconds_sum{kind="once",result="served"}`:              0.3,
			`request_seconds_count{kind="once",result="failed_by_backend"}`: 1,
			`request_backend_seconds_count{kind="once"}`:                    2,
			`request_wait_seconds_sum{kind="once"}`:                         0,
			`request_added_seconds_bucket{le="0.0005"}`:                     env.metricValue(`request_added_seconds_count`),
			`requests_total`:     3,
			`requests_in_flight`: 0,
		} {
			if got := env.metricValue(name); got < wanted-0.001 || got > wanted+0.001 {
				test.Errorf("%s is %v, want %v", name, got, wanted)
			}
		}
	})
	withTestEnv(test, func(env *testEnv) {
		env.fillBackend(3, time.Second)
		if reply, _ := env.get("/once/a"); reply.status != 503 {
			test.Fatal(reply.status)
		}
		if waited := env.metricValue(`request_wait_seconds_sum{kind="once"}`); waited < 0.19 {
			test.Errorf("waited %v s in total, want at least 0.19", waited)
		}
		if count := env.metricValue(`request_seconds_count{kind="once",result="refused"}`); count != 1 {
			test.Errorf("%v refused requests, want 1", count)
		}
	})
}

// The number of metrics does not grow with the number of routes, tenants and backends.
func TestNumberOfMetricsIsBounded(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		for index := range 20 {
			env.addBackend(fmt.Sprint("b", index))
			env.get("/once/a")
			env.get(fmt.Sprintf("/again/%d", index))
		}
		text := bytes.Buffer{}
		env.counters.WriteText(&text)
		if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 700 {
			test.Errorf("%d metric lines, want at most 700", lines)
		}
	})
}
