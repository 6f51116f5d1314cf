package rollout

import (
	"fmt"
	"testing"

	"orchidjunction/message"
)

// Guards against a good version of a service with little traffic being reverted at its deadline,
// because more judged responses are required than it ever has.
func TestLowTrafficVersionAdvances(test *testing.T) {
	for items, want := range map[uint64]int{2: canaryStep, 6: rampingStep} {
		service := newSimulatedService(test)
		for service.rollout().Step < canaryStep {
			service.tick()
		}
		observation := service.observation()
		observation.NowMs = startMs + termMs*6/10
		observation.Reported = func(uint64) []ProcessCounts {
			all := []ProcessCounts{}
			for index := range proxies {
				all = append(all, ProcessCounts{
					Incarnation: fmt.Sprint("p", index),
					Counts: message.RolloutCounts{
						ID: 1, Step: canaryStep, Requests: items + 1, Items: items, FormerRequests: 30 * items, FormerItems: 30 * items,
					},
				})
			}
			return SortCounts(all)
		}
		step := service.rollout().Step
		if next, _ := Decide(service.state, observation, rules); next != nil {
			step = next.Service("desk").Rollout.Step
		}
		if step != want {
			test.Errorf("%d responses at each of %d proxies: step %d, want %d", items, proxies, step, want)
		}
	}
}
