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
	rolloutRequests  = 40 // of each member between two reads of its counts
	rolloutBackends  = 12 // of each version
	rolloutMembers   = 6
	rolloutTimeout   = 3 * rolloutTerm
	rolloutStepCount = 3
)

var rolloutOrder = message.RolloutOrder{Service: "desk", Target: "v2", TermMs: rolloutTerm.Milliseconds()}

// rolledService is a service whose backends of version v2 are listed once its roll-out is
// ordered; members count requests under the step that is in force there.
type rolledService struct {
	world    *World
	failures uint64 // of 100 requests at v2

	mutex    sync.Mutex
	isListed bool
	counts   map[string]map[int]message.RolloutCounts // by member, then by step
	steps    map[string]message.Rollout               // in force at members
}

// newRolledService starts a world with the service and its members.
func newRolledService(test *testing.T, seed uint64, failures uint64) *rolledService {
	world := NewRegionalWorld(seed, 5)
	service := &rolledService{
		world:    world,
		failures: failures,
		counts:   map[string]map[int]message.RolloutCounts{},
		steps:    map[string]message.Rollout{},
	}
	world.ListBackends = service.list
	world.startRegional(test, 0)
	for index := range rolloutMembers {
		service.addMember(index % 3)
	}
	for _, member := range world.Members {
		world.StartMember(member)
	}
	if !world.Until(5*time.Second, world.membersReady) {
		test.Fatal("members not ready")
	}
	return service
}

func (service *rolledService) addMember(region int) {
	member := service.world.AddMember(region)
	member.OnVersion = func(version *agent.Version) { service.inForce(member.Name, version) }
	member.Rollouts = func() []message.RolloutCounts { return service.count(member.Name) }
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

// inForce checks a version that comes into force at a member: it has no backends of v2 without
// an order, and does not go back a step.
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

// count simulates some requests at a member and returns its counts so far.
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

// order orders the roll-out of v2, whose backends are listed from then on.
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

// read returns the confirmed roll-out, or a zero one if none can be confirmed.
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
	if !service.world.Until(rolloutTimeout, func() bool { return service.read().Phase == phase }) {
		test.Fatalf("roll-out did not become %s: %+v", phase, service.read())
	}
	isInForce := func() bool {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		for _, member := range service.world.Members {
			if service.steps[member.Name].Phase != phase {
				return false
			}
		}
		return true
	}
	if !service.world.Until(3*time.Second, isInForce) {
		test.Errorf("%s is not in force at all members: %+v", phase, service.steps)
	}
}

// An ordered roll-out is acknowledged and complete within its term, and its state can be read;
// no member has the listed backends of the new version before the order.
func TestRolloutCompletes(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
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
			test.Errorf("roll-out complete after %v, later than its term", took)
		}
		service.world.reportFailures(test)
	})
}

// A failing version is reverted at all members soon after its first failures.
func TestBadRolloutIsReverted(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 33)
		defer service.world.CloseRegional()
		begin := time.Now()
		service.order(test)
		service.awaitPhase(test, message.RolloutReverted)
		if took := time.Since(begin); took > 8*time.Second {
			test.Errorf("roll-out reverted after %v, want at most 8 s", took)
		}
		service.world.reportFailures(test)
	})
}

// The next leader continues a roll-out at the step where the former one left it and starts no
// other: no member goes back a step, and the order keeps its ID.
func TestRolloutSurvivesLeaderLoss(test *testing.T) {
	for step := range rolloutStepCount {
		test.Run(fmt.Sprint("step ", step), func(test *testing.T) {
			forEachSeed(test, func(test *testing.T, seed uint64) {
				service := newRolledService(test, seed, 0)
				defer service.world.CloseRegional()
				id := service.order(test)
				reached := service.world.Until(rolloutTerm, func() bool { return service.read().Step >= step })
				if !reached {
					test.Fatalf("step %d not reached", step)
				}
				before := service.read()
				leader := service.world.waitStable(test)
				service.world.KillCore(leader, true)
				if !service.world.Until(10*time.Second, func() bool { return service.world.Leader() >= 0 }) {
					test.Fatal("no leader")
				}
				service.world.StartCore(leader)
				ended := func() bool { return service.read().Phase > message.RolloutActive }
				if !service.world.Until(rolloutTimeout, ended) {
					test.Fatalf("roll-out not finished: %+v", service.read())
				}
				if after := service.read(); after.ID != id || after.Step < before.Step {
					test.Errorf("roll-out went back from %+v to %+v, or changed its ID", before, after)
				}
				service.world.reportFailures(test)
			})
		})
	}
}

// An acknowledged order survives a power loss of all cores and members; resent, as if its
// answer was lost, it starts no second roll-out.
func TestAcknowledgedRolloutSurvivesPowerLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
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
			test.Fatalf("got roll-out %+v, want ID %d", service.read(), id)
		}
		if again := service.order(test); again != id {
			test.Errorf("the repeated order started roll-out %d", again)
		}
		other := message.RolloutOrder{Service: "desk", Target: "v3", TermMs: rolloutTerm.Milliseconds()}
		if service.read().Phase == message.RolloutActive {
			if _, err := service.world.OrderRollout(other); rpc.CodeOf(err) != rpc.RolloutActive {
				test.Errorf("order of another version during the roll-out: got %v, want rollout_active", err)
			}
		}
		service.world.reportFailures(test)
	})
}

// An order whose answer is lost with the leader is resent until it is acknowledged, and starts
// one roll-out, whether or not the lost leader had committed it.
func TestRolloutOrderWithLostAnswerIsAppliedOnce(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		leader := service.world.waitStable(test)
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
			test.Errorf("the repeated order started roll-out %d, newest %+v", again, service.read())
		}
		service.world.reportFailures(test)
	})
}

// A roll-out does not advance unobserved while a member is missing; the member gets the current
// step after its restart, before it has backends of the new version.
func TestMemberMissesRolloutSteps(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		service.order(test)
		if !service.world.Until(rolloutTerm, func() bool { return service.read().Step > 0 }) {
			test.Fatal("no step after the first")
		}
		member := service.world.Members[int(seed)%rolloutMembers]
		service.world.KillMember(member)
		service.mutex.Lock()
		delete(service.steps, member.Name)
		delete(service.counts, member.Name)
		service.mutex.Unlock()
		service.world.Sleep(time.Second)
		service.world.StartMember(member)
		service.awaitPhase(test, message.RolloutComplete)
		service.world.reportFailures(test)
	})
}

// The roll-out API starts, shows and aborts a roll-out; an abort returns all requests to the
// former version, and invalid requests are refused with the right status.
func TestRolloutAPI(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		service := newRolledService(test, seed, 0)
		defer service.world.CloseRegional()
		api := agent.NewRolloutAPI(service.world.forwarders()[0], metrics.NewCounters())
		call := func(method, path, body string) (int, agent.RolloutStatus) {
			recorder, status := httptest.NewRecorder(), agent.RolloutStatus{}
			api.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
			if err := json.Unmarshal(recorder.Body.Bytes(), &status); err != nil {
				test.Errorf("%s %s: invalid JSON: %s", method, path, recorder.Body)
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
			test.Fatalf("order: %d %+v", status, receipt)
		}
		status, shown := call(http.MethodGet, "/v1/rollouts/desk", "")
		if status != http.StatusOK || shown.Phase != "active" || shown.Target != "v2" {
			test.Errorf("read: %d %+v", status, shown)
		}
		if status, _ := call(http.MethodDelete, "/v1/rollouts/desk", ""); status != 200 {
			test.Errorf("abort: status %d", status)
		}
		service.awaitPhase(test, message.RolloutReverted)
		service.world.reportFailures(test)
	})
}
