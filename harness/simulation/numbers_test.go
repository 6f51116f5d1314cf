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

// textOf returns the body of an order for a whole routing, different for each operator.
func textOf(version, base uint64, operator int) string {
	config := Routing(version)
	config.Routes[0].TimeoutMs += operator
	return string(platform.WriteOrder(&routing.Change{Version: version, Base: base, Whole: config}))
}

// patchOf returns the body of a patch that only changes the first route's time limit.
func patchOf(version, base uint64) string {
	changed := Routing(base).Routes
	changed[0].TimeoutMs = int(1000 + version)
	return string(platform.WriteOrder(&routing.Change{Version: version, Base: base, Patch: &routing.Patch{Routes: changed}}))
}

// settle sends the same order to random cores until the answer is final, and returns its
// status, or 0 after 100 attempts.
func (caller *operatorCaller) settle(random *rand.Rand, method, path, body string) int {
	for range 100 {
		code, _ := caller.call(random.IntN(len(caller.world.Cores)), method, path, body)
		if code == http.StatusOK || code >= 400 && code < 500 && code != http.StatusRequestTimeout && code != http.StatusTooManyRequests {
			return code
		}
		caller.world.Rest(time.Duration(50+random.IntN(250)) * time.Millisecond)
	}
	return 0
}

// Two operators order different configurations under the same version concurrently, through
// random cores, while the leader is partitioned, frozen, killed or loses its disk. One order
// is acknowledged, the other refused, and every core repeats these answers afterwards.
func TestOneNumberNamesOneConfiguration(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3+2*int(seed%2))
		defer world.CloseFar()
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
					world.Rest(time.Duration(own.IntN(100)) * time.Millisecond)
					code := caller.settle(own, http.MethodPut, "/config", text)
					mutex.Lock()
					codes[operator] = code
					mutex.Unlock()
				})
			}
			world.Rest(wait)
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
				world.broke("%s after %v: statuses %v, want one 200 and one 412", kind, wait, codes)
			}
			mutex.Unlock()
			world.calm(test)
			for operator, text := range texts {
				for index := range world.Cores {
					if code, answer := caller.call(index, http.MethodPut, "/config", text); code != codes[operator] {
						world.broke(
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
		world.report(test)
	})
}

// Acknowledged orders, whole configurations and patches, are acknowledged again when they are
// resent to any core hundreds of changes later, also after the loss of each disk in turn and
// a power loss of all machines.
func TestRepeatsAreKnownAfterHundredsOfChanges(test *testing.T) {
	long(test)
	const changes = 400
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
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
				test.Fatalf("version %d: status %d", version, code)
			}
		}
		again := func(when string) {
			world.calm(test)
			for index := range world.Cores {
				for number := int(seed) % 7; number < len(orders); number += 37 {
					if code, answer := caller.call(index, orders[number].method, "/config", orders[number].text); code != http.StatusOK {
						world.broke("%s, core %d, order %d: %d %s", when, index, number, code, answer)
					}
				}
			}
		}
		again("right after the changes")
		for index := range world.Cores {
			world.WipeCore(index)
			world.Rest(2 * time.Second)
			world.StartCore(index)
			world.openOperators(index)
			world.calm(test)
		}
		again("after the loss of each disk in turn")
		world.killAll(true, false)
		for index := range world.Cores {
			world.StartCore(index)
			world.openOperators(index)
		}
		again("after a power loss of all cores and members")
		world.report(test)
	})
}
