package simulation

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidjunction/metrics"
	"orchidjunction/platform"
	"orchidjunction/routing"
)

// callerSilence is after how long a platform's operator leaves a daemon that says nothing.
const callerSilence = time.Second

// operatorCaller is the platform's operator at the cores' doors.
type operatorCaller struct {
	world  *World
	client *http.Client
}

// operatorCaller opens the platform's side of every living core.
func (world *World) operatorCaller() *operatorCaller {
	for index, machine := range world.Cores {
		if machine.running(world) != nil {
			world.openOperators(index)
		}
	}
	transport := &http.Transport{DialContext: world.Net.Dialer("10.8.0.1"), DisableKeepAlives: true}
	return &operatorCaller{world: world, client: &http.Client{Transport: transport}}
}

// openOperators opens the platform's side of a core that was started.
func (world *World) openOperators(index int) {
	machine := world.Cores[index]
	machine.Forwarder.SetLocalLeader(machine.Core.Leader)
	control := platform.NewOperatorAPI(
		platform.NewLeaderCommands(machine.Forwarder),
		func() map[string]string { return nil },
		metrics.NewCounters(),
	)
	machine.servers = append(machine.servers, world.serve(machine.goroutines, machine.Host+":43", control))
}

// call asks one core once and gives the status; 0 means that no answer came in time.
func (caller *operatorCaller) call(index int, method, path, body string) (int, string) {
	return caller.within(callerSilence, index, method, path, body)
}

func (caller *operatorCaller) within(limit time.Duration, index int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+caller.world.Cores[index].Host+":43"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := caller.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// until calls some cores in turn until one acknowledges.
func (caller *operatorCaller) until(test *testing.T, cores []int, method, path, body string) {
	test.Helper()
	for try := range 40 {
		code, answer := caller.call(cores[try%len(cores)], method, path, body)
		if code == http.StatusOK {
			return
		}
		if code >= 400 && code < 500 {
			test.Fatalf("%s %s: %d %s", method, path, code, answer)
		}
		caller.world.Sleep(200 * time.Millisecond)
	}
	test.Fatalf("%s %s: never acknowledged", method, path)
}

// zoned breaks unless a zone is as it was acknowledged last.
func (world *World) zoned(test *testing.T, zone string, evacuated bool, when string) {
	test.Helper()
	state, err := world.ReadRouting()
	if err != nil {
		test.Fatal(err)
	}
	if slices.Contains(state.Evacuated, zone) != evacuated {
		world.reportViolation("%s: %s was acknowledged evacuated %v, is %v", when, zone, evacuated, !evacuated)
	}
}

// followers are the cores that do not lead.
func (world *World) followers(leader int) []int {
	others := []int{}
	for index := range world.Cores {
		if index != leader {
			others = append(others, index)
		}
	}
	return others
}

// wholeBody is an operator's text of the routing that Routing makes.
func wholeBody(version, base uint64) string {
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Whole: NewRoutingConfig(version)}))
}

// invalidPatch leaves a route without its service.
func invalidPatch(version, base uint64) string {
	return string(
		platform.WriteChange(&routing.Change{Version: version, Base: base, Patch: &routing.Patch{RemoveServices: []string{"desk"}}}),
	)
}

// A core is cut off from the others for 20 s, both ways or one way, whether it leads
// or not. Whatever it is asked then, it says within the second that an operator waits
// that the call is to go elsewhere; there all is acknowledged, and afterwards here.
func TestCutOffEntryPointSendsItsCallersOn(test *testing.T) {
	const answered = callerSilence + 2*interRegionDelay
	each(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf"} {
			for _, leads := range []bool{true, false} {
				world := NewRegionalWorld(seed, 3)
				world.farUp(test, 3)
				operator := world.operatorCaller()
				lost := world.calm(test)
				if !leads {
					lost = world.followers(lost)[int(seed)%2]
				}
				others := world.followers(lost)
				first := wholeBody(5, 1)
				operator.until(test, others, http.MethodPut, "/config", first)
				world.lose(lost, kind, true)
				begin, mutex, open := time.Now(), sync.Mutex{}, 0
				for time.Since(begin) < 20*time.Second {
					for _, one := range []struct{ method, path, body string }{
						{"GET", "/config", ""},
						{"PUT", "/config", first},
						{"PUT", "/config", wholeBody(9, 1)},
						{"PUT", "/config", wholeBody(7, 5)},
						{"PUT", "/config", wholeBody(99, 98)},
						{"PATCH", "/config", invalidPatch(8, 5)},
						{"POST", "/evacuate/z1", ""},
						{"DELETE", "/evacuate/z2", ""},
					} {
						request := time.Since(begin)
						mutex.Lock()
						open++
						mutex.Unlock()
						world.goroutines.Start(func() {
							code, answer := operator.within(answered, lost, one.method, one.path, one.body)
							if code != http.StatusServiceUnavailable && code != http.StatusRequestTimeout {
								world.reportViolation(
									"%s, leads %v: %s %s asked after %v: %d %.100s",
									kind,
									leads,
									one.method,
									one.path,
									request,
									code,
									answer,
								)
							}
							mutex.Lock()
							open--
							mutex.Unlock()
						})
					}
					world.Sleep(time.Duration(300+seed*131%400) * time.Millisecond)
				}
				operator.until(test, others, http.MethodPut, "/config", first)
				state, err := world.ReadRouting()
				if err != nil {
					test.Fatal(err)
				}
				last := wholeBody(10, state.Config.Version)
				operator.until(test, others, http.MethodPut, "/config", last)
				operator.until(test, others, http.MethodPost, "/evacuate/z1", "")
				world.Until(5*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return open == 0 })
				world.lose(lost, kind, false)
				world.calm(test)
				for _, body := range []string{first, last} {
					operator.until(test, []int{lost}, http.MethodPut, "/config", body)
				}
				if code, answer := operator.within(
					answered,
					lost,
					http.MethodPut,
					"/config",
					wholeBody(6, 5),
				); code != http.StatusPreconditionFailed {
					world.reportViolation("%s: back in touch, the loser of a race: %d %s", kind, code, answer)
				}
				world.zoned(test, "z1", true, kind)
				world.report(test)
				world.CloseRegional()
			}
		}
	})
}

// Messages between cores come a second time, late, after the contrary order was
// acknowledged: that one stays in force.
func TestDoubledEvacuationDoesNotComeBack(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 1)
		operator := world.operatorCaller()
		world.calm(test)
		world.Net.SetMessageFaults(MessageFaults{Duplicate: 1000})
		for round := range 16 {
			first, second, begin := http.MethodPost, http.MethodDelete, false
			if round%2 == 1 {
				first, second, begin = second, first, true
			}
			leader := world.calm(test)
			entries := append([]int{leader}, world.followers(leader)...)
			operator.until(test, entries, first, "/evacuate/z1", "")
			operator.until(test, entries, second, "/evacuate/z1", "")
			for until := time.Now().Add(time.Second); time.Now().Before(until); world.Sleep(10 * time.Millisecond) {
				if _, state := world.Cores[leader].Core.Routing(); world.Leader() == leader &&
					slices.Contains(state.Evacuated, "z1") != begin {
					test.Fatalf("round %d: acknowledged evacuated %v, then committed %v", round, begin, !begin)
				}
			}
			world.zoned(test, "z1", begin, "doubled")
		}
		world.report(test)
	})
}

// The entry point that was asked first loses its way to the leader, or stands still,
// with the order under way. The operator goes elsewhere, and on to the contrary order.
// What was under way comes through long after and changes nothing.
func TestLateEvacuationDoesNotComeBack(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"way to the leader cut", "way from the operator cut", "entry frozen"} {
			for _, begin := range []bool{true, false} {
				for _, wait := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond, 180 * time.Millisecond} {
					world := NewRegionalWorld(seed, 3)
					world.farUp(test, 1)
					operator := world.operatorCaller()
					leader := world.calm(test)
					others := world.followers(leader)
					entry, elsewhere := others[int(seed)%2], []int{others[1-int(seed)%2], leader}
					first, second := http.MethodPost, http.MethodDelete
					if !begin {
						operator.until(test, elsewhere, first, "/evacuate/z1", "")
						first, second = second, first
					}
					lose := func(lost bool) {
						switch kind {
						case "way to the leader cut":
							world.Net.CutOneWay(world.Cores[entry].Host, world.Cores[leader].Host, lost)
						case "way from the operator cut":
							world.Net.CutOneWay("10.8.0.1", world.Cores[entry].Host, lost)
						case "entry frozen":
							world.Net.Freeze(world.Cores[entry].Host, lost)
						}
					}
					world.goroutines.Start(func() {
						world.Sleep(wait)
						lose(true)
					})
					operator.call(entry, first, "/evacuate/z1", "")
					operator.until(test, elsewhere, first, "/evacuate/z1", "")
					operator.until(test, elsewhere, second, "/evacuate/z1", "")
					world.Sleep(3 * time.Second)
					lose(false)
					world.Sleep(4 * time.Second)
					world.zoned(test, "z1", !begin, kind+" after "+wait.String())
					world.report(test)
					world.CloseRegional()
				}
			}
		}
	})
}
