package simulation

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const (
	rolloutTerm      = 14 * time.Second
	rolloutRequests  = 40 // of each member between two looks at its counts
	rolloutBackends  = 12 // of each version
	rolloutMembers   = 6
	rolloutPatience  = 3 * rolloutTerm
	rolloutStepCount = 3
)

var rolloutOrder = message.RolloutOrder{Service: "desk", Target: "v2", TermMs: rolloutTerm.Milliseconds()}

// rolledService is a service of whose version v2 the platform lists backends once it is
// ordered; the members count requests by the step that is in force at them.
type rolledService struct {
	world    *World
	failures uint64 // of 100 requests at v2

	mutex    sync.Mutex
	isListed bool
	counts   map[string]map[int]message.RolloutCounts // by member, then by step
	steps    map[string]message.Rollout               // in force at members
}

// newRolledService begins a world with the service and its members.
func newRolledService(test *testing.T, seed uint64, failures uint64) *rolledService {
	world := NewRegionalWorld(seed, 5)
	service := &rolledService{
		world:    world,
		failures: failures,
		counts:   map[string]map[int]message.RolloutCounts{},
		steps:    map[string]message.Rollout{},
	}
	world.ListBackends = service.list
	world.farUp(test, 0)
	for index := range rolloutMembers {
		service.addMember(index % 3)
	}
	for _, one := range world.Members {
		world.StartMember(one)
	}
	if !world.Until(5*time.Second, world.membersReady) {
		test.Fatal("members not ready")
	}
	return service
}

func (service *rolledService) addMember(region int) {
	one := service.world.AddMember(region)
	one.OnVersion = func(version *agent.Version) { service.inForce(one.Name, version) }
	one.Rollouts = func() []message.RolloutCounts { return service.count(one.Name) }
}

func (service *rolledService) list(discovery.PageRequest) discovery.Page {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	page := discovery.Page{}
	for _, revision := range []string{"v1", "v2"} {
		for number := range rolloutBackends {
			backend := message.Backend{
				Name:     fmt.Sprintf("%s-%02d", revision, number),
				Service:  "desk",
				Address:  fmt.Sprintf("10.9.%s.%d:80", revision[1:], number+1),
				Capacity: 4,
				Revision: revision,
			}
			if revision == "v1" || service.isListed {
				page.Backends = append(page.Backends, backend)
			}
		}
	}
	return page
}

// inForce checks a version that a member puts in force: it never has backends of v2 without
// an order, nor goes back a step.
func (service *rolledService) inForce(member string, version *agent.Version) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	former, next := service.steps[member], message.Rollout{}
	if len(version.Rollouts) > 0 {
		next = version.Rollouts[0]
	}
	if next.ID < former.ID || next.ID == former.ID && (next.Step < former.Step || next.Phase < former.Phase) {
		service.world.reportViolation("%s went back from %+v to %+v", member, former, next)
	}
	service.steps[member] = next
	for _, backend := range version.Table.Backends {
		if backend.Revision == "v2" && next.ID == 0 {
			service.world.reportViolation("%s has %s without an order", member, backend.Name)
			return
		}
	}
}

// count serves some requests at a member and returns what it counted so far.
func (service *rolledService) count(member string) []message.RolloutCounts {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	rollout := service.steps[member]
	if rollout.ID == 0 {
		return nil
	}
	if service.counts[member] == nil {
		service.counts[member] = map[int]message.RolloutCounts{}
	}
	counts := service.counts[member][rollout.Step]
	counts.Service, counts.ID, counts.Step = rollout.Service, rollout.ID, rollout.Step
	requests := uint64(rolloutRequests*rollout.Share + 0.5)
	counts.Requests += requests
	counts.Items += requests
	counts.Failures += (requests*service.failures + 99) / 100
	counts.FormerRequests += rolloutRequests - requests
	counts.FormerItems = counts.FormerRequests
	service.counts[member][rollout.Step] = counts
	return slices.Collect(maps.Values(service.counts[member]))
}

// order orders v2, whose backends are listed from then on.
func (service *rolledService) order(test *testing.T) uint64 {
	test.Helper()
	response, err := service.world.OrderRollout(rolloutOrder)
	if err != nil {
		test.Fatal(err)
	}
	service.mutex.Lock()
	service.isListed = true
	service.mutex.Unlock()
	return response.ID
}

// read returns the confirmed roll-out, a zero one while nobody confirms it.
func (service *rolledService) read() message.Rollout {
	response, err := service.world.ReadRollout("desk")
	if err != nil {
		return message.Rollout{}
	}
	return response.Rollout
}

// awaitPhase waits until the roll-out is in a phase and every member has it in force.
func (service *rolledService) awaitPhase(test *testing.T, phase message.RolloutPhase) {
	test.Helper()
	if !service.world.Until(rolloutPatience, func() bool { return service.read().Phase == phase }) {
		test.Fatalf("not %s but %+v", phase, service.read())
	}
	isInForce := func() bool {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		for _, one := range service.world.Members {
			if service.steps[one.Name].Phase != phase {
				return false
			}
		}
		return true
	}
	if !service.world.Until(3*time.Second, isInForce) {
		test.Errorf("%s is not in force at all members: %+v", phase, service.steps)
	}
}

// A roll-out that is ordered is acknowledged and complete by its term, and its state can be
// read from then on; the platform's backends of a new version do nothing before the order.
func TestRolloutIsComplete(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		service.mutex.Lock()
		service.isListed = true // before the order: no member may have them
		service.mutex.Unlock()
		service.world.Sleep(2 * time.Second)
		begin := time.Now()
		service.order(test)
		service.awaitPhase(test, message.RolloutComplete)
		if took := time.Since(begin); took > rolloutTerm {
			test.Errorf("complete after %v", took)
		}
		service.world.report(test)
	})
}

// A version that fails is reverted at all proxies soon after its first failures.
func TestBadRolloutIsReverted(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 33)
		defer service.world.CloseRegional()
		begin := time.Now()
		service.order(test)
		service.awaitPhase(test, message.RolloutReverted)
		if took := time.Since(begin); took > 8*time.Second {
			test.Errorf("reverted after %v", took)
		}
		service.world.report(test)
	})
}

// The next leader takes up a roll-out where the former one left it, at each of its steps, and
// begins none anew: no member goes back a step, and the order stays one.
func TestRolloutOutlivesItsLeader(test *testing.T) {
	for step := range rolloutStepCount {
		test.Run(fmt.Sprint("step ", step), func(test *testing.T) {
			each(test, func(test *testing.T, seed uint64) {
				service := newRolledService(test, seed, 0)
				defer service.world.CloseRegional()
				id := service.order(test)
				reached := service.world.Until(rolloutTerm, func() bool { return service.read().Step >= step })
				if !reached {
					test.Fatalf("no step %d", step)
				}
				before := service.read()
				leader := service.world.calm(test)
				service.world.KillCore(leader, true)
				if !service.world.Until(10*time.Second, func() bool { return service.world.Leader() >= 0 }) {
					test.Fatal("no leader")
				}
				service.world.StartCore(leader)
				ended := func() bool { return service.read().Phase > message.RolloutActive }
				if !service.world.Until(rolloutPatience, ended) {
					test.Fatalf("not ended: %+v", service.read())
				}
				if after := service.read(); after.ID != id || after.Step < before.Step {
					test.Errorf("was %+v, is %+v", before, after)
				}
				service.world.report(test)
			})
		})
	}
}

// An order that was acknowledged is there after the loss of power of all cores and members;
// sent again, as if its answer was lost, it begins no second roll-out.
func TestAcknowledgedRolloutOutlivesAll(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		id := service.order(test)
		service.world.killAll(true, true)
		service.world.Sleep(time.Second)
		service.mutex.Lock()
		service.steps = map[string]message.Rollout{}
		service.mutex.Unlock()
		service.world.startAll()
		if !service.world.Until(10*time.Second, func() bool { return service.read().ID == id }) {
			test.Fatalf("%+v, want roll-out %d", service.read(), id)
		}
		if again := service.order(test); again != id {
			test.Errorf("the order again began roll-out %d", again)
		}
		other := message.RolloutOrder{Service: "desk", Target: "v3", TermMs: rolloutTerm.Milliseconds()}
		if service.read().Phase == message.RolloutActive {
			if _, err := service.world.OrderRollout(other); rpc.CodeOf(err) != rpc.RolloutActive {
				test.Errorf("another version meanwhile: %v", err)
			}
		}
		service.world.report(test)
	})
}

// An order whose answer is lost with its leader is sent again until it is acknowledged, and
// begins one roll-out, whether or not the lost leader had carried it out.
func TestRolloutOrderWithLostAnswerBeginsOne(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		leader := service.world.calm(test)
		acknowledged := make(chan error, 1)
		go func() {
			_, err := service.world.OrderRollout(rolloutOrder)
			acknowledged <- err
		}()
		service.world.Sleep(time.Duration(seed*67%400) * time.Millisecond)
		service.world.KillCore(leader, true)
		if err := <-acknowledged; err != nil {
			test.Errorf("not acknowledged: %v", err)
		}
		service.world.StartCore(leader)
		if again := service.order(test); again != 1 || service.read().ID != 1 {
			test.Errorf("the order again began roll-out %d, newest %+v", again, service.read())
		}
		service.world.report(test)
	})
}

// A member that is cut off during the steps does not let the roll-out go on blindly, and one
// that starts anew during it gets the present step before it has a backend of the version.
func TestMemberMissesTheRolloutsSteps(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		service.order(test)
		if !service.world.Until(rolloutTerm, func() bool { return service.read().Step > 0 }) {
			test.Fatal("no step")
		}
		one := service.world.Members[int(seed)%rolloutMembers]
		service.world.KillMember(one)
		service.mutex.Lock()
		delete(service.steps, one.Name)
		delete(service.counts, one.Name)
		service.mutex.Unlock()
		service.world.Sleep(time.Second)
		service.world.StartMember(one)
		service.awaitPhase(test, message.RolloutComplete)
		service.world.report(test)
	})
}

// The product's own interface starts, shows and aborts a roll-out; an abort gives all requests
// back to the former version, and what is wrong is refused with a code.
func TestRolloutByTheOwnInterface(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		api := agent.NewRolloutAPI(service.world.forwarders()[0], metrics.NewCounters())
		call := func(method, path, body string) (int, agent.RolloutStatus) {
			recorder, status := httptest.NewRecorder(), agent.RolloutStatus{}
			api.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
			if err := json.Unmarshal(recorder.Body.Bytes(), &status); err != nil {
				test.Errorf("%s %s: %s", method, path, recorder.Body)
			}
			return recorder.Code, status
		}
		for _, refused := range []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, "/v1/rollouts", `{"service":"desk","target":"v2"}`, http.StatusBadRequest},
			{http.MethodPost, "/v1/rollouts", `{"service":"hall","target":"v2","term_ms":9000}`, http.StatusNotFound},
			{http.MethodGet, "/v1/rollouts/desk", "", http.StatusNotFound},
			{http.MethodDelete, "/v1/rollouts/desk", "", http.StatusNotFound},
		} {
			if status, _ := call(refused.method, refused.path, refused.body); status != refused.status {
				test.Errorf("%s %s %s: %d, want %d", refused.method, refused.path, refused.body, status, refused.status)
			}
		}
		status, receipt := call(http.MethodPost, "/v1/rollouts", `{"service":"desk","target":"v2","term_ms":14000}`)
		if status != http.StatusOK || receipt.ID != 1 {
			test.Fatalf("%d %+v", status, receipt)
		}
		status, shown := call(http.MethodGet, "/v1/rollouts/desk", "")
		if status != http.StatusOK || shown.Phase != "active" || shown.Target != "v2" {
			test.Errorf("%d %+v", status, shown)
		}
		if status, _ := call(http.MethodDelete, "/v1/rollouts/desk", ""); status != 200 {
			test.Errorf("abort: %d", status)
		}
		service.awaitPhase(test, message.RolloutReverted)
		service.world.report(test)
	})
}
