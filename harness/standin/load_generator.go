package standin

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

// Call is a kind of request that callers send, with a body of Body bytes and a time limit of
// LimitMs milliseconds. Money means that it has an idempotency key.
type Call struct {
	Weight  int    `json:"weight"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Money   bool   `json:"money"`
	Body    int    `json:"body"`
	LimitMs int    `json:"limit_ms"`
	Class   string `json:"class"`
}

// Caller describes all callers of a tenant, with its API key and its weight in the load.
type Caller struct {
	Tenant string `json:"tenant"`
	Key    string `json:"key"`
	Weight int    `json:"weight"`
}

// LoadPlan describes the load: who calls what, PerSecond times a second for Seconds, with up to
// Tries attempts per request. Patient callers retry a request with a key after an unknown outcome
// if the response has Retry-After. Hasty callers retry without a pause. With Eager all callers
// retry unknown outcomes, and Eager percent of the attempts with a key are duplicated.
type LoadPlan struct {
	Directories []string `json:"directories"`
	Callers     []Caller `json:"callers"`
	Calls       []Call   `json:"calls"`
	PerSecond   int      `json:"per_second"`
	Seconds     float64  `json:"seconds"`
	Tries       int      `json:"tries"`
	Zone        string   `json:"zone"`
	Seed        uint64   `json:"seed"`
	Eager       int      `json:"eager_percent"`
	Patient     bool     `json:"patient"`
	Fronts      []string `json:"fronts"`
	Hasty       bool     `json:"hasty"`
}

// Try is one attempt of a request as its caller saw it. Times are in milliseconds since the Unix
// epoch. Mangled means that the body was corrupted, Foreign that it belongs to another request.
type Try struct {
	ID      string `json:"id"`
	Task    string `json:"task"`
	Tenant  string `json:"tenant"`
	Class   string `json:"class,omitempty"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Front   string `json:"front"`
	AtMs    int64  `json:"at"`
	ToldMs  int64  `json:"told"`
	Status  int    `json:"status"`
	Code    string `json:"code,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Cause   string `json:"cause,omitempty"`
	Retry   bool   `json:"retry,omitempty"`
	Mangled bool   `json:"mangled,omitempty"`
	Foreign bool   `json:"foreign,omitempty"`
	Replay  bool   `json:"replay,omitempty"`
}

// Placed is a placement returned by a directory, with the serial of its settings.
type Placed struct {
	AtMs      int64  `json:"at"`
	Directory string `json:"directory"`
	Serial    uint64 `json:"serial"`
}

// LoadReport holds the results of all callers.
type LoadReport struct {
	Asked     int                `json:"asked"`
	Served    int                `json:"served"`
	Unserved  int                `json:"unserved"`
	Unknown   int                `json:"unknown"`
	Tries     []Try              `json:"tries"`
	Placed    []Placed           `json:"placed"`
	Statuses  map[string]int     `json:"statuses"`
	Broken    int                `json:"broken"`
	LatencyMs map[string]float64 `json:"latency_ms"`
	GapMs     int64              `json:"longest_gap_ms"`
}

// LoadGenerator generates the load of a LoadPlan and records every attempt.
type LoadGenerator struct {
	plan   LoadPlan
	client *http.Client
	start  func(func())

	mutex      sync.Mutex
	report     LoadReport
	random     *rand.Rand
	latencies  []float64
	placements map[string]cachedPlacement
	lastServed time.Time
	running    int
	done       *sync.Cond
}

type cachedPlacement struct {
	proxies []string
	expires time.Time
}

// NewLoadGenerator returns a generator that sends with client and starts goroutines with start.
func NewLoadGenerator(plan LoadPlan, client *http.Client, start func(func())) *LoadGenerator {
	generator := &LoadGenerator{
		plan:       plan,
		client:     client,
		start:      start,
		random:     rand.New(rand.NewPCG(plan.Seed, 7)),
		placements: map[string]cachedPlacement{},
	}
	generator.report = LoadReport{Statuses: map[string]int{}, LatencyMs: map[string]float64{}}
	generator.done = sync.NewCond(&generator.mutex)
	return generator
}

// Run sends the planned load, waits for the last responses and returns the report. It stops
// sending once sleep returns false.
func (generator *LoadGenerator) Run(sleep func(time.Duration) bool) LoadReport {
	start := time.Now()
	generator.lastServed = start
	total := int(float64(generator.plan.PerSecond) * generator.plan.Seconds)
	for number := range total {
		due := start.Add(time.Duration(float64(number) / float64(generator.plan.PerSecond) * float64(time.Second)))
		if wait := time.Until(due); wait > 0 && !sleep(wait) {
			break
		}
		generator.mutex.Lock()
		caller, call := generator.pickCall()
		generator.running++
		generator.mutex.Unlock()
		generator.start(func() {
			generator.runTask(caller, call, fmt.Sprintf("k%d-%d", generator.plan.Seed, number))
			generator.mutex.Lock()
			generator.running--
			generator.done.Broadcast()
			generator.mutex.Unlock()
		})
	}
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	for generator.running > 0 {
		generator.done.Wait()
	}
	sort.Float64s(generator.latencies)
	for name, quantile := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1} {
		if count := len(generator.latencies); count > 0 {
			generator.report.LatencyMs[name] = generator.latencies[min(int(quantile*float64(count)), count-1)]
		}
	}
	return generator.report
}

func (generator *LoadGenerator) pickCall() (Caller, Call) {
	pick := func(weights func(int) int, count int) int {
		sum := 0
		for index := range count {
			sum += weights(index)
		}
		point := generator.random.IntN(max(sum, 1))
		for index := range count {
			if point -= weights(index); point < 0 {
				return index
			}
		}
		return 0
	}
	caller := generator.plan.Callers[pick(func(index int) int { return generator.plan.Callers[index].Weight }, len(generator.plan.Callers))]
	call := generator.plan.Calls[pick(func(index int) int { return generator.plan.Calls[index].Weight }, len(generator.plan.Calls))]
	return caller, call
}

// findProxies returns the proxies of the caller's placement, which it caches until it expires.
func (generator *LoadGenerator) findProxies(caller Caller, number int) []string {
	if len(generator.plan.Fronts) > 0 {
		return generator.plan.Fronts
	}
	generator.mutex.Lock()
	cached := generator.placements[caller.Tenant]
	generator.mutex.Unlock()
	if time.Now().Before(cached.expires) {
		return cached.proxies
	}
	for offset := range generator.plan.Directories {
		directory := generator.plan.Directories[(number+offset)%len(generator.plan.Directories)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/v1/place?zone="+generator.plan.Zone, nil)
		request.Header.Set("Authorization", "Bearer "+caller.Key)
		response, err := generator.client.Do(request)
		if err != nil {
			cancel()
			continue
		}
		placement := struct {
			Serial uint64 `json:"serial"`
			HoldMs int64  `json:"hold_ms"`
			Fronts []struct {
				Address string `json:"address"`
			} `json:"fronts"`
		}{}
		err = json.NewDecoder(response.Body).Decode(&placement)
		response.Body.Close()
		cancel()
		if err != nil || len(placement.Fronts) == 0 {
			continue
		}
		proxies := []string{}
		for _, proxy := range placement.Fronts {
			proxies = append(proxies, proxy.Address)
		}
		generator.mutex.Lock()
		generator.report.Placed = append(
			generator.report.Placed,
			Placed{AtMs: time.Now().UnixMilli(), Directory: directory, Serial: placement.Serial},
		)
		generator.placements[caller.Tenant] = cachedPlacement{
			proxies: proxies,
			expires: time.Now().Add(time.Duration(placement.HoldMs) * time.Millisecond),
		}
		generator.mutex.Unlock()
		return proxies
	}
	return cached.proxies
}

// runTask makes up to LoadPlan.Tries attempts of one task, each at the next proxy.
func (generator *LoadGenerator) runTask(caller Caller, call Call, key string) {
	start := time.Now()
	generator.mutex.Lock()
	generator.report.Asked++
	number := generator.report.Asked
	generator.mutex.Unlock()
	if strings.Contains(call.Path, "?") {
		call.Path += "&task=" + key
	}
	served, unknown := false, false
	for try := range max(generator.plan.Tries, 1) {
		proxies := generator.findProxies(caller, number+try)
		if len(proxies) == 0 {
			generator.countStatus("no_placement")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if call.Money && generator.drawDuplicate() {
			generator.sendDuplicate(caller, call, key, try, proxies[(number+try+1)%len(proxies)])
		}
		attempt := generator.Once(caller, call, key, fmt.Sprintf("%s.%d", key, try), proxies[(number+try)%len(proxies)])
		if attempt.Status == 200 && !attempt.Mangled {
			served = true
			generator.recordServed(start)
			break
		}
		if attempt.Outcome != "not_run" && attempt.Status != 409 {
			unknown = true
			if call.Money && generator.plan.Eager == 0 && (!attempt.Retry || !generator.plan.Patient) {
				break
			}
		}
		generator.mutex.Lock()
		delete(generator.placements, caller.Tenant)
		generator.mutex.Unlock()
		if !generator.plan.Hasty {
			time.Sleep(time.Duration(50*(try+1)) * time.Millisecond)
		}
	}
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	switch {
	case served:
		generator.report.Served++
	case unknown:
		generator.report.Unknown++
	default:
		generator.report.Unserved++
	}
}

func (generator *LoadGenerator) drawDuplicate() bool {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return generator.random.IntN(100) < generator.plan.Eager
}

// sendDuplicate sends a request with the same key within 20 ms, as impatient callers do.
func (generator *LoadGenerator) sendDuplicate(caller Caller, call Call, key string, try int, proxy string) {
	generator.mutex.Lock()
	generator.running++
	delay := time.Duration(generator.random.IntN(20)) * time.Millisecond
	generator.mutex.Unlock()
	generator.start(func() {
		time.Sleep(delay)
		generator.Once(caller, call, key, fmt.Sprintf("%s.%d-double", key, try), proxy)
		generator.mutex.Lock()
		generator.running--
		generator.done.Broadcast()
		generator.mutex.Unlock()
	})
}

// Once makes one attempt at one proxy, records it and returns it.
func (generator *LoadGenerator) Once(caller Caller, call Call, key, id, proxy string) Try {
	path, _, _ := strings.Cut(call.Path, "?")
	try := Try{
		ID:     id,
		Task:   key,
		Tenant: caller.Tenant,
		Class:  call.Class,
		Method: call.Method,
		Path:   path,
		Front:  proxy,
		AtMs:   time.Now().UnixMilli(),
	}
	if call.Money {
		try.Key = key
	}
	generator.send(caller, call, &try)
	try.ToldMs = time.Now().UnixMilli()
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	generator.report.Tries = append(generator.report.Tries, try)
	generator.report.Statuses[strings.TrimSpace(fmt.Sprintf("%d %s", try.Status, try.Code))]++
	if try.Code == "receipt_broke" || try.Code == "front_broke" {
		generator.report.Broken++
	}
	return try
}

// Tries returns the attempts recorded so far.
func (generator *LoadGenerator) Tries() []Try {
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	return append([]Try{}, generator.report.Tries...)
}

func (generator *LoadGenerator) send(caller Caller, call Call, try *Try) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.LimitMs)*time.Millisecond+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(
		ctx,
		call.Method,
		"http://"+try.Front+call.Path,
		bytes.NewReader(bytes.Repeat([]byte("y"), call.Body)),
	)
	if err != nil {
		try.Code, try.Outcome = "bad_call", "not_run"
		return
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+caller.Key)
	request.Header.Set("Oj-Limit-Ms", fmt.Sprint(call.LimitMs))
	request.Header.Set("Stand-Try", try.ID)
	if try.Key != "" {
		request.Header.Set("Idempotency-Key", try.Key)
	}
	response, err := generator.client.Do(request)
	if err != nil {
		try.Code = "front_broke"
		if strings.Contains(err.Error(), "refused") {
			try.Code, try.Outcome = "front_refused", "not_run"
		}
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		try.Code = "receipt_broke"
		return
	}
	try.Status, try.Replay, try.Retry = response.StatusCode, response.Header.Get(
		"Oj-Replayed",
	) != "", response.Header.Get(
		"Retry-After",
	) != ""
	if response.StatusCode == http.StatusOK {
		sum := sha256.Sum256(body)
		try.Mangled = response.Header.Get("Stand-Sum") != hex.EncodeToString(sum[:])
		_, backendPath, _ := strings.Cut(strings.TrimPrefix(try.Path, "/"), "/")
		try.Foreign = response.Header.Get("Stand-For") != caller.Tenant+" /"+backendPath
		return
	}
	failure := struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Cause   string `json:"cause"`
	}{}
	_ = json.Unmarshal(body, &failure) // another body leaves the fields empty
	try.Code, try.Outcome, try.Cause = failure.Code, failure.Outcome, failure.Cause
}

func (generator *LoadGenerator) countStatus(code string) {
	generator.mutex.Lock()
	generator.report.Statuses[code]++
	generator.mutex.Unlock()
}

func (generator *LoadGenerator) recordServed(start time.Time) {
	now := time.Now()
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	generator.latencies = append(generator.latencies, float64(now.Sub(start).Microseconds())/1000)
	if gap := now.Sub(generator.lastServed).Milliseconds(); gap > generator.report.GapMs {
		generator.report.GapMs = gap
	}
	generator.lastServed = now
}
