package simulation

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"orchidjunction/platform"
	"orchidjunction/routing"
)

// configBody returns the body of an order for a whole routing, different for each operator.
func configBody(version, base uint64, operator int) string {
	config := NewRoutingConfig(version)
	config.Routes[0].TimeoutMs += operator
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Whole: config}))
}

// patchBody returns the body of a patch that only changes the first route's time limit.
func patchBody(version, base uint64) string {
	changed := NewRoutingConfig(base).Routes
	changed[0].TimeoutMs = int(1000 + version)
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Patch: &routing.Patch{Routes: changed}}))
}

// callUntilFinal sends the same order to random cores until the answer is final, and returns its
// status, or 0 after 100 attempts.
func (client *operatorClient) callUntilFinal(random *rand.Rand, method, path, body string) int {
	for range 100 {
		code, _ := client.call(random.IntN(len(client.world.Cores)), method, path, body)
		if code == http.StatusOK || code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests {
			return code
		}
		client.world.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
	}
	return 0
}

// Two operators order different configurations under the same version concurrently, through
// random cores, while the leader is partitioned, frozen, killed or loses its disk. One order
// is acknowledged, the other refused, and every core repeats these answers afterwards.
func TestOneVersionHasOneConfiguration(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		defer world.CloseRegional()
		world.startRegional(test, 1)
		client := world.newOperatorClient()
		version, random := uint64(1), rand.New(rand.NewPCG(seed, 41))
		for _, kind := range []string{"calm", "cut", "mute", "deaf", "frozen", "killed", "wiped", "cut", "deaf", "killed"} {
			leader := world.waitStable(test)
			wait := time.Duration(random.IntN(450)) * time.Millisecond
			mutex, codes, bodies := sync.Mutex{}, map[int]int{}, []string{
				configBody(version+3, version, 1),
				configBody(version+3, version, 2),
			}
			for operator, body := range bodies {
				operatorRandom := rand.New(rand.NewPCG(seed, version*8+uint64(operator)))
				world.goroutines.Start(func() {
					world.Sleep(time.Duration(operatorRandom.IntN(100)) * time.Millisecond)
					code := client.callUntilFinal(operatorRandom, http.MethodPut, "/config", body)
					mutex.Lock()
					codes[operator] = code
					mutex.Unlock()
				})
			}
			world.Sleep(wait)
			switch kind {
			case "killed":
				world.KillCore(leader, true)
			case "wiped":
				world.WipeCore(leader)
			case "calm":
			default:
				world.partitionCore(leader, kind, true)
			}
			world.Until(40*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return len(codes) == 2 })
			if kind == "killed" || kind == "wiped" {
				world.StartCore(leader)
				world.serveOperatorAPI(leader)
			} else if kind != "calm" {
				world.partitionCore(leader, kind, false)
			}
			mutex.Lock()
			if codes[0]+codes[1] != http.StatusOK+http.StatusPreconditionFailed {
				world.reportViolation("%s after %v: statuses %v, want one 200 and one 412", kind, wait, codes)
			}
			mutex.Unlock()
			world.waitStable(test)
			for operator, body := range bodies {
				for index := range world.Cores {
					if code, answer := client.call(index, http.MethodPut, "/config", body); code != codes[operator] {
						world.reportViolation(
							"%s after %v: operator %d got %d, then core %d answered %d %s",
							kind,
							wait,
							operator,
							codes[operator],
							index,
							code,
							answer,
						)
					}
				}
			}
			version += 3
		}
		world.reportFailures(test)
	})
}

// Acknowledged orders, whole configurations and patches, are acknowledged again when they are
// resent to any core hundreds of changes later, also after the loss of each disk in turn and
// a power loss of all machines.
func TestRepeatedOrdersAreRecognizedAfterManyChanges(test *testing.T) {
	skipUnderRaceDetector(test)
	const changes = 400
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 1)
		client := world.newOperatorClient()
		type sentOrder struct{ method, body string }
		orders, random := []sentOrder{}, rand.New(rand.NewPCG(seed, 43))
		for version := uint64(2); version < 2+changes; version++ {
			request := sentOrder{http.MethodPut, configBody(version, version-1, 1)}
			if version%3 == 0 {
				request = sentOrder{http.MethodPatch, patchBody(version, version-1)}
			}
			orders = append(orders, request)
			if code := client.callUntilFinal(random, request.method, "/config", request.body); code != http.StatusOK {
				test.Fatalf("version %d: status %d", version, code)
			}
		}
		resendAll := func(phase string) {
			world.waitStable(test)
			for index := range world.Cores {
				for number := int(seed) % 7; number < len(orders); number += 37 {
					if code, answer := client.call(index, orders[number].method, "/config", orders[number].body); code != http.StatusOK {
						world.reportViolation("%s, core %d, order %d: %d %s", phase, index, number, code, answer)
					}
				}
			}
		}
		resendAll("right after the changes")
		for index := range world.Cores {
			world.WipeCore(index)
			world.Sleep(2 * time.Second)
			world.StartCore(index)
			world.serveOperatorAPI(index)
			world.waitStable(test)
		}
		resendAll("after the loss of each disk in turn")
		world.killAll(true, false)
		for index := range world.Cores {
			world.StartCore(index)
			world.serveOperatorAPI(index)
		}
		resendAll("after a power loss of all cores and members")
		world.reportFailures(test)
	})
}
