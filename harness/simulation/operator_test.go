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

// operatorTimeout is how long the platform's operator waits for an answer.
const operatorTimeout = time.Second

// operatorClient acts as the platform's operator and calls the cores' control APIs.
type operatorClient struct {
	world      *World
	httpClient *http.Client
}

// newOperatorClient serves the platform's control API on every running core and returns a
// client for it.
func (world *World) newOperatorClient() *operatorClient {
	for index, machine := range world.Cores {
		if machine.running(world) != nil {
			world.serveOperatorAPI(index)
		}
	}
	transport := &http.Transport{DialContext: world.Net.Dialer("10.8.0.1"), DisableKeepAlives: true}
	return &operatorClient{world: world, httpClient: &http.Client{Transport: transport}}
}

// serveOperatorAPI serves the platform's control API on a running core.
func (world *World) serveOperatorAPI(index int) {
	machine := world.Cores[index]
	machine.Forwarder.SetLocalLeader(machine.Core.Leader)
	control := platform.NewOperatorAPI(
		platform.NewLeaderCommands(machine.Forwarder),
		func() map[string]string { return nil },
		metrics.NewCounters(),
	)
	machine.servers = append(machine.servers, world.serve(machine.goroutines, machine.Host+":43", control))
}

// call sends one request to a core and returns the status, 0 if no answer came in time.
func (client *operatorClient) call(index int, method, path, body string) (int, string) {
	return client.callWithin(operatorTimeout, index, method, path, body)
}

func (client *operatorClient) callWithin(limit time.Duration, index int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.world.Cores[index].Host+":43"+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := client.httpClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

// callUntilOK calls the cores in turn until one acknowledges.
func (client *operatorClient) callUntilOK(test *testing.T, cores []int, method, path, body string) {
	test.Helper()
	for try := range 40 {
		code, answer := client.call(cores[try%len(cores)], method, path, body)
		if code == http.StatusOK {
			return
		}
		if code >= 400 && code < 500 {
			test.Fatalf("%s %s: %d %s", method, path, code, answer)
		}
		client.world.Sleep(200 * time.Millisecond)
	}
	test.Fatalf("%s %s: not acknowledged in 40 attempts", method, path)
}

// checkEvacuated records a violation unless the zone's state is the one acknowledged last.
func (world *World) checkEvacuated(test *testing.T, zone string, evacuated bool, phase string) {
	test.Helper()
	state, err := world.ReadRouting()
	if err != nil {
		test.Fatal(err)
	}
	if slices.Contains(state.Evacuated, zone) != evacuated {
		world.reportViolation("%s: zone %s was acknowledged as evacuated=%v, is %v", phase, zone, evacuated, !evacuated)
	}
}

// followers returns the indexes of all cores except the leader.
func (world *World) followers(leader int) []int {
	others := []int{}
	for index := range world.Cores {
		if index != leader {
			others = append(others, index)
		}
	}
	return others
}

// wholeBody returns the body of an order for Routing(version).
func wholeBody(version, base uint64) string {
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Whole: NewRoutingConfig(version)}))
}

// invalidPatch returns the body of a patch that removes the service of a route.
func invalidPatch(version, base uint64) string {
	return string(
		platform.WriteChange(&routing.Change{Version: version, Base: base, Patch: &routing.Patch{RemoveServices: []string{"desk"}}}),
	)
}

// A core, leader or follower, is partitioned from the others for 20 s in one or both
// directions. It answers every call with 503 or 408 within the operator's timeout, so that the
// operator tries another core; the others acknowledge the orders, and so does it once healed.
func TestPartitionedCoreRedirectsOperators(test *testing.T) {
	const answerLimit = operatorTimeout + 2*interRegionDelay
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf"} {
			for _, isLeader := range []bool{true, false} {
				world := NewRegionalWorld(seed, 3)
				world.startRegional(test, 3)
				client := world.newOperatorClient()
				isolated := world.waitStable(test)
				if !isLeader {
					isolated = world.followers(isolated)[int(seed)%2]
				}
				others := world.followers(isolated)
				first := wholeBody(5, 1)
				client.callUntilOK(test, others, http.MethodPut, "/config", first)
				world.partitionCore(isolated, kind, true)
				begin, mutex, pending := time.Now(), sync.Mutex{}, 0
				for time.Since(begin) < 20*time.Second {
					for _, call := range []struct{ method, path, body string }{
						{"GET", "/config", ""},
						{"PUT", "/config", first},
						{"PUT", "/config", wholeBody(9, 1)},
						{"PUT", "/config", wholeBody(7, 5)},
						{"PUT", "/config", wholeBody(99, 98)},
						{"PATCH", "/config", invalidPatch(8, 5)},
						{"POST", "/evacuate/z1", ""},
						{"DELETE", "/evacuate/z2", ""},
					} {
						sentAfter := time.Since(begin)
						mutex.Lock()
						pending++
						mutex.Unlock()
						world.goroutines.Start(func() {
							code, answer := client.callWithin(answerLimit, isolated, call.method, call.path, call.body)
							if code != http.StatusServiceUnavailable && code != http.StatusRequestTimeout {
								world.reportViolation(
									"%s, leader %v: %s %s sent after %v: got %d %.100s, want 503 or 408",
									kind,
									isLeader,
									call.method,
									call.path,
									sentAfter,
									code,
									answer,
								)
							}
							mutex.Lock()
							pending--
							mutex.Unlock()
						})
					}
					world.Sleep(time.Duration(300+seed*131%400) * time.Millisecond)
				}
				client.callUntilOK(test, others, http.MethodPut, "/config", first)
				state, err := world.ReadRouting()
				if err != nil {
					test.Fatal(err)
				}
				last := wholeBody(10, state.Config.Version)
				client.callUntilOK(test, others, http.MethodPut, "/config", last)
				client.callUntilOK(test, others, http.MethodPost, "/evacuate/z1", "")
				world.Until(5*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return pending == 0 })
				world.partitionCore(isolated, kind, false)
				world.waitStable(test)
				for _, body := range []string{first, last} {
					client.callUntilOK(test, []int{isolated}, http.MethodPut, "/config", body)
				}
				if code, answer := client.callWithin(
					answerLimit,
					isolated,
					http.MethodPut,
					"/config",
					wholeBody(6, 5),
				); code != http.StatusPreconditionFailed {
					world.reportViolation("%s: after healing, a conflicting order got %d %s, want 412", kind, code, answer)
				}
				world.checkEvacuated(test, "z1", true, kind)
				world.reportFailures(test)
				world.CloseRegional()
			}
		}
	})
}

// Duplicates of messages between cores arrive after the opposite order was acknowledged:
// the opposite order stays in force.
func TestDuplicatedEvacuationIsNotReapplied(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 1)
		client := world.newOperatorClient()
		world.waitStable(test)
		world.Net.SetMessageFaults(MessageFaults{Duplicate: 1000})
		for round := range 16 {
			first, second, evacuated := http.MethodPost, http.MethodDelete, false
			if round%2 == 1 {
				first, second, evacuated = second, first, true
			}
			leader := world.waitStable(test)
			cores := append([]int{leader}, world.followers(leader)...)
			client.callUntilOK(test, cores, first, "/evacuate/z1", "")
			client.callUntilOK(test, cores, second, "/evacuate/z1", "")
			for until := time.Now().Add(time.Second); time.Now().Before(until); world.Sleep(10 * time.Millisecond) {
				if _, state := world.Cores[leader].Core.Routing(); world.Leader() == leader &&
					slices.Contains(state.Evacuated, "z1") != evacuated {
					test.Fatalf("round %d: acknowledged as evacuated=%v, then committed as %v", round, evacuated, !evacuated)
				}
			}
			world.checkEvacuated(test, "z1", evacuated, "duplicated messages")
		}
		world.reportFailures(test)
	})
}

// The first core that gets an order loses its link to the leader, or freezes, with the order
// in flight. The operator sends the order and then the opposite one through other cores. The
// delayed first order is delivered much later and must change nothing.
func TestDelayedEvacuationIsNotReapplied(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"link to the leader cut", "link from the operator cut", "first core frozen"} {
			for _, evacuateFirst := range []bool{true, false} {
				for _, wait := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond, 180 * time.Millisecond} {
					world := NewRegionalWorld(seed, 3)
					world.startRegional(test, 1)
					client := world.newOperatorClient()
					leader := world.waitStable(test)
					others := world.followers(leader)
					firstCore, otherCores := others[int(seed)%2], []int{others[1-int(seed)%2], leader}
					first, second := http.MethodPost, http.MethodDelete
					if !evacuateFirst {
						client.callUntilOK(test, otherCores, first, "/evacuate/z1", "")
						first, second = second, first
					}
					setFault := func(lost bool) {
						switch kind {
						case "link to the leader cut":
							world.Net.CutOneWay(world.Cores[firstCore].Host, world.Cores[leader].Host, lost)
						case "link from the operator cut":
							world.Net.CutOneWay("10.8.0.1", world.Cores[firstCore].Host, lost)
						case "first core frozen":
							world.Net.Freeze(world.Cores[firstCore].Host, lost)
						}
					}
					world.goroutines.Start(func() {
						world.Sleep(wait)
						setFault(true)
					})
					client.call(firstCore, first, "/evacuate/z1", "")
					client.callUntilOK(test, otherCores, first, "/evacuate/z1", "")
					client.callUntilOK(test, otherCores, second, "/evacuate/z1", "")
					world.Sleep(3 * time.Second)
					setFault(false)
					world.Sleep(4 * time.Second)
					world.checkEvacuated(test, "z1", !evacuateFirst, kind+" after "+wait.String())
					world.reportFailures(test)
					world.CloseRegional()
				}
			}
		}
	})
}
