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
	// manyRoutes are as many as operators had when no core led again.
	manyRoutes = 13_700
	// thinRate is the rate of the links between cores, in bytes a second: a copy of so many
	// routes takes longer than any time-out of an election.
	thinRate = 1 << 20
	// recoveryLimit is the time in which a leader must stand after a total loss.
	recoveryLimit = 15 * time.Second
)

// manyRoutesChange is a whole routing of many routes.
func manyRoutesChange(version, base uint64) *message.RoutingChangeRequest {
	whole := NewRoutingConfig(version)
	route := whole.Routes[0]
	for number := range manyRoutes - 1 {
		route.Name, route.Prefix = fmt.Sprint("route-of-many-", number), fmt.Sprintf("/many/%d/", number)
		whole.Routes = append(whole.Routes, route)
	}
	change := &routing.Change{Version: version, Base: base, Digest: fmt.Sprint("many ", version), Whole: whole}
	body, _ := rpc.Marshal(change) // structures of numbers and texts are always encoded
	return &message.RoutingChangeRequest{Body: body}
}

// All cores lose power while the routing is large and a copy of it takes seconds between
// them. Candidates deposed one another without end: each had a quorum accept the whole state
// again, and nobody waited for that. One must lead in time, also where a core holds an older
// routing, or lost its disk.
func TestLeaderStandsAgainWithALargeState(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, trouble := range []string{"all hold it", "one is behind", "one lost its disk"} {
			world := NewRegionalWorld(seed, 3)
			world.farUp(test, 0)
			leader := world.calm(test)
			other := (leader + 1 + int(seed%2)) % 3
			if trouble == "one is behind" {
				world.KillCore(other, true)
			}
			if _, err := forward(world, world.forwarders(), message.MethodRoutingChange, manyRoutesChange(2, 1)); err != nil {
				test.Fatal(err)
			}
			world.Net.SetRate(thinRate)
			world.killAll(true, false)
			if trouble == "one lost its disk" {
				world.WipeCore(other)
			}
			world.Sleep(time.Second)
			world.startAll()
			begin := time.Now()
			if !world.Until(recoveryLimit, func() bool { return world.Leader() >= 0 }) {
				world.reportViolation("%s: nobody leads after %v", trouble, recoveryLimit)
			}
			test.Logf("%s: a leader after %v", trouble, time.Since(begin))
			if !world.Until(recoveryLimit, world.sound) {
				world.reportViolation("%s: not all vote", trouble)
			}
			world.Net.SetRate(0)
			if state, err := world.ReadRouting(); err != nil || state.Config.Version != 2 || len(state.Config.Routes) != manyRoutes {
				world.reportViolation("%s: read back %v", trouble, err)
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}
