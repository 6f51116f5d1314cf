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

// textOf is an operator's text of a routing that another operator's differs from.
func textOf(version, base uint64, operator int) string {
	config := NewRoutingConfig(version)
	config.Routes[0].TimeoutMs += operator
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Whole: config}))
}

// patchOf is an operator's text of a change of nothing but the base's time limit.
func patchOf(version, base uint64) string {
	changed := NewRoutingConfig(base).Routes
	changed[0].TimeoutMs = int(1000 + version)
	return string(platform.WriteChange(&routing.Change{Version: version, Base: base, Patch: &routing.Patch{Routes: changed}}))
}

// settle sends an order as it is to cores in a random order until it is answered for
// good, and gives the status.
func (caller *operatorCaller) settle(random *rand.Rand, method, path, body string) int {
	for range 100 {
		code, _ := caller.call(random.IntN(len(caller.world.Cores)), method, path, body)
		if code == http.StatusOK || code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests {
			return code
		}
		caller.world.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
	}
	return 0
}

// Two operators give different configurations one number, at once and through any two
// cores, while the leader is cut off, stands still, dies or loses its disk at some
// moment of it. One is acknowledged and the other told that it lost, and so
// each is told ever after, at every core.
func TestOneNumberNamesOneConfiguration(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		defer world.CloseRegional()
		world.farUp(test, 1)
		caller := world.operatorCaller()
		version, random := uint64(1), rand.New(rand.NewPCG(seed, 41))
		for _, kind := range []string{"calm", "cut", "mute", "deaf", "frozen", "killed", "wiped", "cut", "deaf", "killed"} {
			leader := world.calm(test)
			wait := time.Duration(random.IntN(450)) * time.Millisecond
			mutex, codes, texts := sync.Mutex{}, map[int]int{}, []string{textOf(version+3, version, 1), textOf(version+3, version, 2)}
			for operator, text := range texts {
				own := rand.New(rand.NewPCG(seed, version*8+uint64(operator)))
				world.goroutines.Start(func() {
					world.Sleep(time.Duration(own.IntN(100)) * time.Millisecond)
					code := caller.settle(own, http.MethodPut, "/config", text)
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
				world.lose(leader, kind, true)
			}
			world.Until(40*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return len(codes) == 2 })
			if kind == "killed" || kind == "wiped" {
				world.StartCore(leader)
				world.openOperators(leader)
			} else if kind != "calm" {
				world.lose(leader, kind, false)
			}
			mutex.Lock()
			if codes[0]+codes[1] != http.StatusOK+http.StatusPreconditionFailed {
				world.reportViolation("%s after %v: %v", kind, wait, codes)
			}
			mutex.Unlock()
			world.calm(test)
			for operator, text := range texts {
				for index := range world.Cores {
					if code, answer := caller.call(index, http.MethodPut, "/config", text); code != codes[operator] {
						world.reportViolation(
							"%s after %v: operator %d was told %d, then at core %d: %d %s",
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
		world.report(test)
	})
}

// What was acknowledged is so again when it is sent again hundreds of changes later,
// whole or in part, through every core, after restarts, the loss of each disk in turn,
// and of all power.
func TestRepeatsAreKnownAfterHundredsOfChanges(test *testing.T) {
	long(test)
	const changes = 400
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 1)
		caller := world.operatorCaller()
		type sent struct{ method, text string }
		orders, random := []sent{}, rand.New(rand.NewPCG(seed, 43))
		for version := uint64(2); version < 2+changes; version++ {
			one := sent{http.MethodPut, textOf(version, version-1, 1)}
			if version%3 == 0 {
				one = sent{http.MethodPatch, patchOf(version, version-1)}
			}
			orders = append(orders, one)
			if code := caller.settle(random, one.method, "/config", one.text); code != http.StatusOK {
				test.Fatalf("%d: %d", version, code)
			}
		}
		again := func(when string) {
			world.calm(test)
			for index := range world.Cores {
				for number := int(seed) % 7; number < len(orders); number += 37 {
					if code, answer := caller.call(index, orders[number].method, "/config", orders[number].text); code != http.StatusOK {
						world.reportViolation("%s, core %d, order %d: %d %s", when, index, number, code, answer)
					}
				}
			}
		}
		again("at once")
		for index := range world.Cores {
			world.WipeCore(index)
			world.Sleep(2 * time.Second)
			world.StartCore(index)
			world.openOperators(index)
			world.calm(test)
		}
		again("every disk lost in turn")
		world.killAll(true, false)
		for index := range world.Cores {
			world.StartCore(index)
			world.openOperators(index)
		}
		again("all power lost")
		world.report(test)
	})
}
