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

// service plays a service whose proxies follow the decisions after a delay: it counts what
// each version gets, and which of its requests fail.
type service struct {
	state    *State
	nowMs    int64
	delayMs  int64 // from a decision until proxies have it, and from a response to the leader
	failures func(elapsedMs int64, share float64) float64
	pending  []pendingStep
	step     int
	share    float64
	counts   []map[int]message.RolloutCounts // by process, then by step
	reports  []reported
	backends []message.Backend
	silent   int // processes that do not report
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

func newService(test *testing.T) *service {
	known := (&State{}).ObserveVersions(backendsOf("v1*aaaaaaaaaa"))
	order := &message.RolloutOrder{Service: "desk", Target: "v2", TermMs: termMs}
	service := &service{
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

func (service *service) rollout() *Rollout { return service.state.Service("desk").Rollout }

// tick lets the proxies send requests for a while, and the leader decide.
func (service *service) tick() {
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

func (service *service) serve() {
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

func (service *service) snapshot() []ProcessCounts {
	all := []ProcessCounts{}
	for index := range len(service.counts) - service.silent {
		for _, counts := range service.counts[index] {
			all = append(all, ProcessCounts{Incarnation: fmt.Sprint("p", index), Counts: counts})
		}
	}
	return Sorted(all)
}

func (service *service) observation() *Observation {
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

// run plays until the roll-out ends, or a time after its term, and returns when it ended,
// in milliseconds after the order.
func (service *service) run() int64 {
	for service.rollout().Phase == message.RolloutActive && service.nowMs < startMs+2*termMs {
		service.tick()
	}
	return service.nowMs - startMs
}

// exposed returns the requests that the new version got until the term, if the proxies go on
// as decided, and those of the service altogether.
func (service *service) exposed() (requests, all uint64) {
	for service.nowMs < startMs+termMs {
		service.tick()
	}
	for _, bySteps := range service.counts {
		for _, counts := range bySteps {
			requests, all = requests+counts.Requests, all+counts.Requests+counts.FormerRequests
		}
	}
	return requests, all
}

// A good version is complete before its term, whose end counts as a miss.
func TestGoodVersionIsCompleteByTheTerm(test *testing.T) {
	service := newService(test)
	took := service.run()
	if service.rollout().Phase != message.RolloutComplete || took > termMs-1500 {
		test.Errorf("%s after %d ms", service.rollout().Phase, took)
	}
	if current := service.state.Service("desk").Current; current != "v2" {
		test.Errorf("current version %q", current)
	}
}

// A version that fails gets no more than the bound of all requests until its term, whenever
// it turns bad, also under its full load (EXPOSURE).
func TestBadVersionStaysWithinItsBound(test *testing.T) {
	for name, failures := range map[string]func(elapsedMs int64, share float64) float64{
		"at once":           func(int64, float64) float64 { return 0.33 },
		"on one route":      func(int64, float64) float64 { return 0.12 },
		"after 3 s":         func(elapsedMs int64, _ float64) float64 { return 0.33 * boolOf(elapsedMs > 3000) },
		"after 7 s":         func(elapsedMs int64, _ float64) float64 { return 0.33 * boolOf(elapsedMs > 7000) },
		"at a larger share": func(_ int64, share float64) float64 { return 0.33 * boolOf(share > 0.1) },
		"at the full share": func(_ int64, share float64) float64 { return 0.33 * boolOf(share > 0.9) },
	} {
		service := newService(test)
		service.failures = failures
		ended := service.run()
		requests, all := service.exposed()
		if service.rollout().Phase != message.RolloutReverted || service.share != 0 {
			test.Errorf("%s: %s after %d ms", name, service.rollout().Phase, ended)
		}
		if bound := 0.1*float64(all) + 50; float64(requests) > bound {
			test.Errorf("%s: %d of %d requests, bound %.0f", name, requests, all, bound)
		}
	}
}

func boolOf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// Without enough evidence a version keeps its share, and at the term it is reverted rather
// than given more: processes are silent, backends are cold, or nobody reports.
func TestVersionWithoutProofIsReverted(test *testing.T) {
	for name, change := range map[string]func(service *service){
		"a process is silent": func(service *service) { service.silent = 1 },
		"all are silent":      func(service *service) { service.silent = proxies },
		"no backends":         func(service *service) { service.backends = backendsOf("v1*aaaaaaaaaa") },
		"too few backends":    func(service *service) { service.backends = backendsOf("v1*aaaaaaaaaa", "v2*a") },
		"cold backends": func(service *service) {
			for index := range service.backends {
				if service.backends[index].Revision == "v2" {
					service.backends[index].WarmAtMs = startMs + 2*termMs
				}
			}
		},
	} {
		service := newService(test)
		change(service)
		most := 0.0
		for service.rollout().Phase == message.RolloutActive {
			service.tick()
			most = max(most, service.rollout().Share)
		}
		took := service.nowMs - startMs
		if service.rollout().Phase != message.RolloutReverted || took < termMs || took > termMs+tickMs || most > 0.1 {
			test.Errorf("%s: %s after %d ms, share %.2f", name, service.rollout().Phase, took, most)
		}
	}
}

// The former version's backends end at once on completion, so it waits for their requests.
func TestCompletionWaitsForTheFormerVersion(test *testing.T) {
	service := newService(test)
	service.inFlight = 1
	for service.nowMs < startMs+termMs+1000 {
		service.tick()
	}
	if service.rollout().Phase != message.RolloutActive || service.share != 1 {
		test.Fatalf("%s, share %.2f", service.rollout().Phase, service.share)
	}
	service.inFlight = 0
	service.run()
	if service.rollout().Phase != message.RolloutComplete {
		test.Error(service.rollout().Phase)
	}
}

// Reports that come late, twice, or from processes that ended since change no sum.
func TestCountsAreNeitherLostNorCountedTwice(test *testing.T) {
	countsOf := func(incarnation string, step int, items uint64) ProcessCounts {
		return ProcessCounts{Incarnation: incarnation, Counts: message.RolloutCounts{Step: step, Items: items}}
	}
	rollout := &Rollout{Phase: message.RolloutActive, Counts: []ProcessCounts{countsOf("a", 1, 10), countsOf("b", 1, 5)}}
	for name, one := range map[string]struct {
		reported []ProcessCounts
		want     uint64
	}{
		"nothing new":            {nil, 15},
		"one ended":              {[]ProcessCounts{countsOf("b", 1, 7)}, 17},
		"an older report":        {[]ProcessCounts{countsOf("a", 1, 3), countsOf("b", 1, 5)}, 15},
		"another step":           {[]ProcessCounts{countsOf("a", 1, 10), countsOf("a", 2, 4), countsOf("b", 1, 5)}, 19},
		"a process that started": {[]ProcessCounts{countsOf("c", 1, 2)}, 17},
	} {
		if total := rollout.Total(one.reported); total.Items != one.want {
			test.Errorf("%s: %d items, want %d", name, total.Items, one.want)
		}
	}
	ended := Service{Name: "desk", Rollout: rollout}.ended(message.RolloutReverted, rollout.Total([]ProcessCounts{countsOf("b", 1, 7)}))
	if total := ended.Rollout.Total([]ProcessCounts{countsOf("b", 1, 9)}); total.Items != 17 {
		test.Errorf("ended with 17 items, then %d", total.Items)
	}
	if rollout.Counts[0].Counts.Items != 10 {
		test.Error("the stored counts were changed")
	}
}
