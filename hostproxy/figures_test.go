package hostproxy

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"
)

// sample is the value of one line of the figures' text.
func (world *world) sample(name string) float64 {
	text := bytes.Buffer{}
	world.counters.WriteText(&text)
	found := regexp.MustCompile(`(?m)^orchidjunction_` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(text.Bytes())
	if found == nil {
		return 0
	}
	value, err := strconv.ParseFloat(string(found[1]), 64)
	if err != nil {
		world.test.Fatal(err)
	}
	return value
}

// A request's time is told by where it went, and its end by its result: the wait for
// capacity, the backends' time, and what the proxy added, which is nothing in virtual time.
func TestFiguresOfRequests(test *testing.T) {
	inWorld(test, func(world *world) {
		world.add("b1").
			then(after(300*time.Millisecond, well), status("500 Own"), after(100*time.Millisecond, shed), after(200*time.Millisecond, well))
		for _, path := range []string{"/once/a", "/once/a", "/again/a"} {
			world.get(path)
		}
		world.goroutines.Sleep(time.Second)
		for name, wanted := range map[string]float64{
			`request_seconds_count{kind="once",result="served"}`:            1,
			`request_seconds_sum{kind="once",result="served"}`:              0.3,
			`request_seconds_count{kind="once",result="failed_by_backend"}`: 1,
			`request_backend_seconds_count{kind="once"}`:                    2,
			`request_wait_seconds_sum{kind="once"}`:                         0,
			`request_added_seconds_bucket{le="0.0005"}`:                     world.sample(`request_added_seconds_count`),
			`requests_total`:     3,
			`requests_in_flight`: 0,
		} {
			if got := world.sample(name); got < wanted-0.001 || got > wanted+0.001 {
				test.Errorf("%s is %v, want %v", name, got, wanted)
			}
		}
	})
	inWorld(test, func(world *world) {
		world.fillBackend(3, time.Second)
		if reply, _ := world.get("/once/a"); reply.status != 503 {
			test.Fatal(reply.status)
		}
		if waited := world.sample(`request_wait_seconds_sum{kind="once"}`); waited < 0.19 {
			test.Errorf("waited %v s in all", waited)
		}
		if count := world.sample(`request_seconds_count{kind="once",result="refused"}`); count != 1 {
			test.Errorf("%v refused", count)
		}
	})
}

// However many routes, tenants and backends there are, the number of figures is bounded.
func TestNumberOfFiguresIsBounded(test *testing.T) {
	inWorld(test, func(world *world) {
		for index := range 20 {
			world.add(fmt.Sprint("b", index))
			world.get("/once/a")
			world.get(fmt.Sprintf("/again/%d", index))
		}
		text := bytes.Buffer{}
		world.counters.WriteText(&text)
		if lines := bytes.Count(text.Bytes(), []byte("\n")); lines > 700 {
			test.Errorf("%d lines", lines)
		}
	})
}
