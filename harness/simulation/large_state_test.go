package simulation

import (
	"fmt"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

const (
	// manyRoutes is the number of routes with which no leader was elected.
	manyRoutes = 13_700
	// slowLinkRate is the rate of the links between cores, in bytes per second: a copy of
	// manyRoutes takes longer than any election time-out.
	slowLinkRate = 1 << 20
	// recoveryLimit is the time in which a leader must be elected after a total outage.
	recoveryLimit = 15 * time.Second
)

// manyRoutesChange replaces the whole routing by one of manyRoutes routes.
func manyRoutesChange(version, base uint64) *message.RoutingChangeRequest {
	whole := NewRoutingConfig(version)
	route := whole.Routes[0]
	for number := range manyRoutes - 1 {
		route.Name, route.Prefix = fmt.Sprint("route-of-many-", number), fmt.Sprintf("/many/%d/", number)
		whole.Routes = append(whole.Routes, route)
	}
	change := &routing.Change{Version: version, Base: base, Digest: fmt.Sprint("many ", version), Whole: whole}
	body, _ := rpc.Marshal(change) // cannot fail for numbers and strings
	return &message.RoutingChangeRequest{Body: body}
}

// Guards against an endless election after all cores lose power with a routing so large that
// a copy takes seconds: each candidate had a quorum accept the whole state again, and was
// deposed by the next before that ended. A leader must be elected in time, also where a core
// has an older routing or lost its disk.
func TestLeaderIsElectedWithALargeState(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, condition := range []string{"all have it", "one is behind", "one lost its disk"} {
			world := NewRegionalWorld(seed, 3)
			world.startRegional(test, 0)
			leader := world.waitStable(test)
			other := (leader + 1 + int(seed%2)) % 3
			if condition == "one is behind" {
				world.KillCore(other, true)
			}
			if _, err := forward(world, world.forwarders(), message.MethodRoutingChange, manyRoutesChange(2, 1)); err != nil {
				test.Fatal(err)
			}
			world.Net.SetRate(slowLinkRate)
			world.killAll(true, false)
			if condition == "one lost its disk" {
				world.WipeCore(other)
			}
			world.Sleep(time.Second)
			world.startAll()
			begin := time.Now()
			if !world.Until(recoveryLimit, func() bool { return world.Leader() >= 0 }) {
				world.reportViolation("%s: no leader after %v", condition, recoveryLimit)
			}
			test.Logf("%s: leader elected after %v", condition, time.Since(begin))
			if !world.Until(recoveryLimit, world.allVote) {
				world.reportViolation("%s: not all cores vote in time", condition)
			}
			world.Net.SetRate(0)
			if state, err := world.ReadRouting(); err != nil || state.Config.Version != 2 || len(state.Config.Routes) != manyRoutes {
				world.reportViolation("%s: read after recovery: %v", condition, err)
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
