package stand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Call is one kind of task that callers send.
type Call struct {
	Weight  int    `json:"weight"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Money   bool   `json:"money"`
	Body    int    `json:"body"`
	LimitMs int    `json:"limit_ms"`
}

// Caller is one tenant's callers.
type Caller struct {
	Tenant string `json:"tenant"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
}

// OriginPlan is what the callers do.
type OriginPlan struct {
	Directories []string `json:"directories"`
	Callers     []Caller `json:"callers"`
	Calls       []Call   `json:"calls"`
	PerSecond   int      `json:"per_second"`
	Seconds     float64  `json:"seconds"`
	Tries       int      `json:"tries"`
	Zone        string   `json:"zone"`
	Seed        uint64   `json:"seed"`
	Eager       int      `json:"eager_percent"`
}

// MoneyOutcome is what callers were told of one key.
type MoneyOutcome struct {
	Paid     bool  `json:"paid"`
	NotRun   bool  `json:"not_run"`
	Unknown  bool  `json:"unknown"`
	BusyAtMs int64 `json:"busy_at_ms"`
}

// OriginReport is what the callers saw.
type OriginReport struct {
	Asked     int                     `json:"asked"`
	Served    int                     `json:"served"`
	Unserved  int                     `json:"unserved"`
	Unknown   int                     `json:"unknown"`
	Tries     int                     `json:"tries"`
	Statuses  map[string]int          `json:"statuses"`
	Mangled   int                     `json:"mangled"`
	Foreign   int                     `json:"foreign"`
	Broken    int                     `json:"broken"`
	LatencyMs map[string]float64      `json:"latency_ms"`
	GapMs     int64                   `json:"longest_gap_ms"`
	Money     map[string]MoneyOutcome `json:"money"`
	SentBy    map[string]int          `json:"sent_by_tenant"`
	Samples   []string                `json:"samples"`
}

// Origin plays the callers.
type Origin struct {
	plan   OriginPlan
	client *http.Client
	start  func(func())

	mutex     sync.Mutex
	report    OriginReport
	random    *rand.Rand
	latencies []float64
	fronts    map[string]heldFronts
	lastGood  time.Time
	running   int
	done      *sync.Cond
}

type heldFronts struct {
	fronts []string
	until  time.Time
}

func NewOrigin(plan OriginPlan, client *http.Client, start func(func())) *Origin {
	origin := &Origin{plan: plan, client: client, start: start, random: rand.New(rand.NewPCG(plan.Seed, 7)), fronts: map[string]heldFronts{}}
	origin.report = OriginReport{Statuses: map[string]int{}, Money: map[string]MoneyOutcome{}, SentBy: map[string]int{}, LatencyMs: map[string]float64{}}
	origin.done = sync.NewCond(&origin.mutex)
	return origin
}

// Run sends at the planned pace and returns what the callers saw.
func (origin *Origin) Run(rest func(time.Duration) bool) OriginReport {
	begin := time.Now()
	origin.lastGood = begin
	total := int(float64(origin.plan.PerSecond) * origin.plan.Seconds)
	for number := range total {
		due := begin.Add(time.Duration(float64(number) / float64(origin.plan.PerSecond) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 && !rest(wait) {
			break
		}
		origin.mutex.Lock()
		caller, call := origin.draw()
		origin.running++
		origin.mutex.Unlock()
		origin.start(func() {
			origin.task(caller, call, fmt.Sprintf("k%d-%d", origin.plan.Seed, number))
			origin.mutex.Lock()
			origin.running--
			origin.done.Broadcast()
			origin.mutex.Unlock()
		})
	}
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	for origin.running > 0 {
		origin.done.Wait()
	}
	sort.Float64s(origin.latencies)
	for name, part := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1} {
		if count := len(origin.latencies); count > 0 {
			origin.report.LatencyMs[name] = origin.latencies[min(int(part*float64(count)), count-1)]
		}
	}
	return origin.report
}

func (origin *Origin) draw() (Caller, Call) {
	pick := func(weights func(int) int, count int) int {
		sum := 0
		for index := range count {
			sum += weights(index)
		}
		mark := origin.random.IntN(max(sum, 1))
		for index := range count {
			if mark -= weights(index); mark < 0 {
				return index
			}
		}
		return 0
	}
	caller := origin.plan.Callers[pick(func(index int) int { return origin.plan.Callers[index].Weight }, len(origin.plan.Callers))]
	call := origin.plan.Calls[pick(func(index int) int { return origin.plan.Calls[index].Weight }, len(origin.plan.Calls))]
	return caller, call
}

// place asks a directory, and keeps its answer as long as it holds.
func (origin *Origin) place(caller Caller, number int) []string {
	origin.mutex.Lock()
	held := origin.fronts[caller.Tenant]
	origin.mutex.Unlock()
	if time.Now().Before(held.until) {
		return held.fronts
	}
	for turn := range origin.plan.Directories {
		directory := origin.plan.Directories[(number+turn)%len(origin.plan.Directories)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/v1/place?zone="+origin.plan.Zone, nil)
		request.Header.Set("Authorization", "Bearer "+caller.Key)
		response, fault := origin.client.Do(request)
		if fault != nil {
			cancel()
			continue
		}
		placement := struct {
			HoldMs int64 `json:"hold_ms"`
			Fronts []struct {
				Address string `json:"address"`
			} `json:"fronts"`
		}{}
		fault = json.NewDecoder(response.Body).Decode(&placement)
		response.Body.Close()
		cancel()
		if fault != nil || len(placement.Fronts) == 0 {
			continue
		}
		fronts := []string{}
		for _, front := range placement.Fronts {
			fronts = append(fronts, front.Address)
		}
		origin.mutex.Lock()
		origin.fronts[caller.Tenant] = heldFronts{fronts: fronts, until: time.Now().Add(time.Duration(placement.HoldMs) * time.Millisecond)}
		origin.mutex.Unlock()
		return fronts
	}
	return held.fronts
}

type answerSeen struct {
	status  int
	outcome string
	code    string
	whole   bool
	foreign bool
	replay  bool
}

// task is one task with the caller's own tries, each at another front.
func (origin *Origin) task(caller Caller, call Call, key string) {
	begin := time.Now()
	origin.mutex.Lock()
	origin.report.Asked++
	origin.report.SentBy[caller.Tenant]++
	number := origin.report.Asked
	origin.mutex.Unlock()
	if strings.Contains(call.Path, "?") {
		call.Path += "&task=" + key
	}
	name := caller.Tenant + "/" + key
	outcome := MoneyOutcome{}
	for try := range max(origin.plan.Tries, 1) {
		fronts := origin.place(caller, number+try)
		if len(fronts) == 0 {
			origin.count("no_placement")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if call.Money && origin.eager() {
			origin.double(caller, call, key, fronts[(number+try+1)%len(fronts)])
		}
		seen := origin.once(caller, call, key, fronts[(number+try)%len(fronts)])
		origin.note(seen, caller, call)
		if call.Money {
			if seen.status == http.StatusServiceUnavailable {
				outcome.BusyAtMs = time.Now().UnixMilli()
			}
		}
		if seen.status == 200 && seen.whole {
			outcome.Paid = true
			origin.good(begin)
			break
		}
		if seen.outcome != "not_run" && seen.status != 409 {
			outcome.Unknown = true
			if call.Money && origin.plan.Eager == 0 {
				break
			}
		}
		origin.mutex.Lock()
		delete(origin.fronts, caller.Tenant)
		origin.mutex.Unlock()
		time.Sleep(time.Duration(50*(try+1)) * time.Millisecond)
	}
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	switch {
	case outcome.Paid:
		origin.report.Served++
	case outcome.Unknown:
		origin.report.Unknown++
	default:
		outcome.NotRun = true
		origin.report.Unserved++
	}
	if call.Money {
		origin.report.Money[name] = outcome
	}
}

func (origin *Origin) eager() bool {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	return origin.random.IntN(100) < origin.plan.Eager
}

// double sends the same key at the same time, as impatient callers do.
func (origin *Origin) double(caller Caller, call Call, key, front string) {
	origin.mutex.Lock()
	origin.running++
	wait := time.Duration(origin.random.IntN(20)) * time.Millisecond
	origin.mutex.Unlock()
	origin.start(func() {
		time.Sleep(wait)
		origin.note(origin.once(caller, call, key, front), caller, call)
		origin.mutex.Lock()
		origin.running--
		origin.done.Broadcast()
		origin.mutex.Unlock()
	})
}

func (origin *Origin) once(caller Caller, call Call, key, front string) answerSeen {
	span := time.Duration(call.LimitMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), span+time.Second)
	defer cancel()
	request, fault := http.NewRequestWithContext(ctx, call.Method, "http://"+front+call.Path, bytes.NewReader(bytes.Repeat([]byte("y"), call.Body)))
	if fault != nil {
		return answerSeen{code: "bad_call", outcome: "not_run"}
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+caller.Key)
	request.Header.Set("Oj-Limit-Ms", fmt.Sprint(call.LimitMs))
	if call.Money {
		request.Header.Set("Idempotency-Key", key)
	}
	response, fault := origin.client.Do(request)
	if fault != nil {
		if strings.Contains(fault.Error(), "refused") {
			return answerSeen{code: "front_refused", outcome: "not_run"}
		}
		return answerSeen{code: "front_broke"}
	}
	defer response.Body.Close()
	body, fault := io.ReadAll(response.Body)
	if fault != nil {
		return answerSeen{status: 0, code: "receipt_broke"}
	}
	seen := answerSeen{status: response.StatusCode, whole: true, replay: response.Header.Get("Oj-Replayed") != ""}
	if response.StatusCode == 200 {
		sum := sha256.Sum256(body)
		seen.whole = response.Header.Get("Stand-Sum") == hex.EncodeToString(sum[:])
		path := call.Path
		if _, rest, cut := strings.Cut(strings.TrimPrefix(path, "/"), "/"); cut {
			path = "/" + rest
		}
		path, _, _ = strings.Cut(path, "?")
		seen.foreign = response.Header.Get("Stand-For") != caller.Tenant+" "+path
		return seen
	}
	mishap := struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	}{}
	json.Unmarshal(body, &mishap)
	seen.code, seen.outcome = mishap.Code, mishap.Outcome
	return seen
}

func (origin *Origin) note(seen answerSeen, caller Caller, call Call) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	origin.report.Tries++
	origin.report.Statuses[strings.TrimSpace(fmt.Sprintf("%d %s", seen.status, seen.code))]++
	if seen.status == 200 && !seen.whole {
		origin.report.Mangled++
	}
	if seen.foreign {
		origin.report.Foreign++
	}
	if seen.code == "receipt_broke" || seen.code == "front_broke" {
		origin.report.Broken++
	}
	if seen.status != 200 && len(origin.report.Samples) < 20 {
		origin.report.Samples = append(origin.report.Samples, fmt.Sprintf("%s %s %s: %d %s %s", caller.Tenant, call.Method, call.Path, seen.status, seen.code, seen.outcome))
	}
}

func (origin *Origin) count(code string) {
	origin.mutex.Lock()
	origin.report.Statuses[code]++
	origin.mutex.Unlock()
}

func (origin *Origin) good(begin time.Time) {
	now := time.Now()
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	origin.latencies = append(origin.latencies, float64(now.Sub(begin).Microseconds())/1000)
	if gap := now.Sub(origin.lastGood).Milliseconds(); gap > origin.report.GapMs {
		origin.report.GapMs = gap
	}
	origin.lastGood = now
}
