package rollout

import (
	"fmt"
	"testing"
	"time"

	"orchidjunction/message"
)

const (
	startMs  = int64(1_000_000)
	termMs   = int64(14_000)
	tickMs   = int64(150)
	proxies  = 8
	ratePerS = 1600.0
)

var rules = Rules{Bounds: Bounds{Share: 0.1, Extra: 50}, Verdict: DefaultVerdict()}

// simulatedService simulates a service whose proxies follow decisions after a delay. It counts
// the requests to each version and their failures.
type simulatedService struct {
	state    *State
	nowMs    int64
	delayMs  int64 // sum of the delays from response to leader and from decision to proxies
	failures func(elapsedMs int64, share float64) float64
	pending  []pendingStep
	step     int
	share    float64
	counts   []map[int]message.RolloutCounts // by process and step
	reports  []reported
	backends []message.Backend
	silent   int // number of processes that do not report
	inFlight int
}

type pendingStep struct {
	atMs  int64
	step  int
	share float64
}

type reported struct {
	atMs   int64
	counts []ProcessCounts
}

func newSimulatedService(test *testing.T) *simulatedService {
	known := (&State{}).ObserveVersions(backendsOf("v1*aaaaaaaaaa"))
	order := &message.RolloutOrder{Service: "desk", Target: "v2", TermMs: termMs}
	service := &simulatedService{
		state:    mustOrder(test, known, order, startMs),
		nowMs:    startMs,
		delayMs:  450,
		failures: func(int64, float64) float64 { return 0 },
		backends: backendsOf("v1*aaaaaaaaaa", "v2*aaaaaaaaaa"),
	}
	for range proxies {
		service.counts = append(service.counts, map[int]message.RolloutCounts{0: {ID: 1}})
	}
	return service
}

func (service *simulatedService) rollout() *Rollout { return service.state.Service("desk").Rollout }

// tick simulates tickMs of requests and one decision of the leader.
func (service *simulatedService) tick() {
	service.nowMs += tickMs
	for len(service.pending) > 0 && service.pending[0].atMs <= service.nowMs {
		service.step, service.share = service.pending[0].step, service.pending[0].share
		service.pending = service.pending[1:]
	}
	service.serve()
	service.reports = append(service.reports, reported{service.nowMs + service.delayMs/2, service.snapshot()})
	before := service.rollout()
	if next, _ := Decide(service.state, service.observation(), rules); next != nil {
		service.state = next
	}
	if after := service.rollout(); after != before {
		service.pending = append(service.pending, pendingStep{service.nowMs + service.delayMs/2, after.Step, after.Share})
	}
}

func (service *simulatedService) serve() {
	each := ratePerS * float64(tickMs) / 1000 / proxies
	for index := range service.counts {
		counts := service.counts[index][service.step]
		counts.ID, counts.Step = 1, service.step
		requests := uint64(each*service.share + 0.5)
		counts.Requests += requests
		counts.Items += requests
		counts.Failures += uint64(float64(requests)*service.failures(service.nowMs-startMs, service.share) + 0.5)
		counts.FormerRequests += uint64(each) - min(uint64(each), requests)
		counts.FormerItems = counts.FormerRequests
		counts.FormerInFlight = service.inFlight
		service.counts[index][service.step] = counts
	}
}

func (service *simulatedService) snapshot() []ProcessCounts {
	all := []ProcessCounts{}
	for index := range len(service.counts) - service.silent {
		for _, counts := range service.counts[index] {
			all = append(all, ProcessCounts{Incarnation: fmt.Sprint("p", index), Counts: counts})
		}
	}
	return SortCounts(all)
}

func (service *simulatedService) observation() *Observation {
	newest := []ProcessCounts{}
	for _, report := range service.reports {
		if report.atMs <= service.nowMs {
			newest = report.counts
		}
	}
	observation := &Observation{
		NowMs: service.nowMs, IsSettled: true, Backends: service.backends,
		Reported: func(uint64) []ProcessCounts { return newest },
	}
	for index := range service.counts {
		process := Process{Incarnation: fmt.Sprint("p", index)}
		if index >= len(service.counts)-service.silent {
			process.Age = time.Minute
		}
		observation.Processes = append(observation.Processes, process)
	}
	return observation
}

// run simulates until the rollout ends, at most until twice its time limit, and returns the
// milliseconds since the order.
func (service *simulatedService) run() int64 {
	for service.rollout().Phase == message.RolloutActive && service.nowMs < startMs+2*termMs {
		service.tick()
	}
	return service.nowMs - startMs
}

// requestsByDeadline simulates until the deadline and returns the requests to the new version,
// and to the whole service.
func (service *simulatedService) requestsByDeadline() (requests, all uint64) {
	for service.nowMs < startMs+termMs {
		service.tick()
	}
	for _, byStep := range service.counts {
		for _, counts := range byStep {
			requests, all = requests+counts.Requests, all+counts.Requests+counts.FormerRequests
		}
	}
	return requests, all
}

// The rollout of a good version must complete 1.5 s before the deadline: at the deadline, it has failed.
func TestGoodVersionCompletesByDeadline(test *testing.T) {
	service := newSimulatedService(test)
	took := service.run()
	if service.rollout().Phase != message.RolloutComplete || took > termMs-1500 {
		test.Errorf("phase %s after %d ms", service.rollout().Phase, took)
	}
	if current := service.state.Service("desk").Current; current != "v2" {
		test.Errorf("current version %q", current)
	}
}

// Until its deadline, a bad version must get no more requests than the bound (EXPOSURE), whenever
// it turns bad, also under full load.
func TestBadVersionStaysWithinBound(test *testing.T) {
	for name, failures := range map[string]func(elapsedMs int64, share float64) float64{
		"at once":           func(int64, float64) float64 { return 0.33 },
		"on one route":      func(int64, float64) float64 { return 0.12 },
		"after 3 s":         func(elapsedMs int64, _ float64) float64 { return 0.33 * oneIf(elapsedMs > 3000) },
		"after 7 s":         func(elapsedMs int64, _ float64) float64 { return 0.33 * oneIf(elapsedMs > 7000) },
		"at a larger share": func(_ int64, share float64) float64 { return 0.33 * oneIf(share > 0.1) },
		"at the full share": func(_ int64, share float64) float64 { return 0.33 * oneIf(share > 0.9) },
	} {
		service := newSimulatedService(test)
		service.failures = failures
		ended := service.run()
		requests, all := service.requestsByDeadline()
		if service.rollout().Phase != message.RolloutReverted || service.share != 0 {
			test.Errorf("%s: phase %s after %d ms", name, service.rollout().Phase, ended)
		}
		if bound := 0.1*float64(all) + 50; float64(requests) > bound {
			test.Errorf("%s: new version got %d of %d requests, bound %.0f", name, requests, all, bound)
		}
	}
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// A version without enough evidence (silent processes, too few or cold backends) must keep its
// share, and be reverted at the deadline.
func TestVersionWithoutEvidenceIsReverted(test *testing.T) {
	for name, change := range map[string]func(service *simulatedService){
		"a process is silent": func(service *simulatedService) { service.silent = 1 },
		"all are silent":      func(service *simulatedService) { service.silent = proxies },
		"no backends":         func(service *simulatedService) { service.backends = backendsOf("v1*aaaaaaaaaa") },
		"too few backends":    func(service *simulatedService) { service.backends = backendsOf("v1*aaaaaaaaaa", "v2*a") },
		"cold backends": func(service *simulatedService) {
			for index := range service.backends {
				if service.backends[index].Revision == "v2" {
					service.backends[index].WarmAtMs = startMs + 2*termMs
				}
			}
		},
	} {
		service := newSimulatedService(test)
		change(service)
		maxShare := 0.0
		for service.rollout().Phase == message.RolloutActive {
			service.tick()
			maxShare = max(maxShare, service.rollout().Share)
		}
		took := service.nowMs - startMs
		if service.rollout().Phase != message.RolloutReverted || took < termMs || took > termMs+tickMs || maxShare > 0.1 {
			test.Errorf("%s: phase %s after %d ms, largest share %.2f", name, service.rollout().Phase, took, maxShare)
		}
	}
}

// Guards against requests cut off at the old version's backends, which stop at once on completion.
func TestCompletionWaitsForRequestsAtOldVersion(test *testing.T) {
	service := newSimulatedService(test)
	service.inFlight = 1
	for service.nowMs < startMs+termMs+1000 {
		service.tick()
	}
	if service.rollout().Phase != message.RolloutActive || service.share != 1 {
		test.Fatalf("phase %s, share %.2f", service.rollout().Phase, service.share)
	}
	service.inFlight = 0
	service.run()
	if service.rollout().Phase != message.RolloutComplete {
		test.Error(service.rollout().Phase)
	}
}

// Delayed and repeated reports, and processes that have ended, must not change the sums.
func TestCountsAreNeitherLostNorCountedTwice(test *testing.T) {
	countsOf := func(incarnation string, step int, items uint64) ProcessCounts {
		return ProcessCounts{Incarnation: incarnation, Counts: message.RolloutCounts{Step: step, Items: items}}
	}
	rollout := &Rollout{Phase: message.RolloutActive, Counts: []ProcessCounts{countsOf("a", 1, 10), countsOf("b", 1, 5)}}
	for name, testCase := range map[string]struct {
		reported []ProcessCounts
		want     uint64
	}{
		"nothing new":            {nil, 15},
		"a process ended":        {[]ProcessCounts{countsOf("b", 1, 7)}, 17},
		"an older report":        {[]ProcessCounts{countsOf("a", 1, 3), countsOf("b", 1, 5)}, 15},
		"another step":           {[]ProcessCounts{countsOf("a", 1, 10), countsOf("a", 2, 4), countsOf("b", 1, 5)}, 19},
		"a process that started": {[]ProcessCounts{countsOf("c", 1, 2)}, 17},
	} {
		if total := rollout.Total(testCase.reported); total.Items != testCase.want {
			test.Errorf("%s: %d items, want %d", name, total.Items, testCase.want)
		}
	}
	ended := Service{
		Name:    "desk",
		Rollout: rollout,
	}.withEndedRollout(
		message.RolloutReverted,
		rollout.Total([]ProcessCounts{countsOf("b", 1, 7)}),
	)
	if total := ended.Rollout.Total([]ProcessCounts{countsOf("b", 1, 9)}); total.Items != 17 {
		test.Errorf("ended rollout: %d items, want 17", total.Items)
	}
	if rollout.Counts[0].Counts.Items != 10 {
		test.Error("the stored counts were modified")
	}
}
