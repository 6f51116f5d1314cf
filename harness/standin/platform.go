package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Listed is a backend in the platform's list.
type Listed struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// Platform is an HTTP handler that simulates the platform: it serves a list of backends in
// pages, delayed and rate-limited, and accepts usage reports.
type Platform struct {
	pageSize int
	lag      time.Duration
	limiter  *rate.Limiter

	mutex    sync.Mutex
	versions []listVersion
	Reports  map[string][]string
	ReportAt map[string]int64
	Limited  int
	mode     string
	until    time.Time
	shifts   int
}

type listVersion struct {
	at    time.Time
	items []Listed
}

// NewPlatform returns a platform that lists items, pageSize of them per page and delayed by lag,
// and allows perSecond list requests per second.
func NewPlatform(pageSize int, lag time.Duration, perSecond float64, items []Listed) *Platform {
	return &Platform{
		pageSize: max(pageSize, 1), lag: lag, limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1)),
		versions: []listVersion{{items: items}}, Reports: map[string][]string{}, ReportAt: map[string]int64{},
	}
}

// Misbehave injects a fault for a while: the platform refuses requests, closes connections or
// shifts its pages. Modes with the prefix "usage-" affect usage reports only.
func (platform *Platform) Misbehave(mode string, duration time.Duration) {
	platform.mutex.Lock()
	platform.mode, platform.until = mode, time.Now().Add(duration)
	platform.mutex.Unlock()
}

func (platform *Platform) currentMode() string {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if time.Now().After(platform.until) {
		return ""
	}
	return platform.mode
}

// SetLag sets the delay of the list.
func (platform *Platform) SetLag(lag time.Duration) {
	platform.mutex.Lock()
	platform.lag = lag
	platform.mutex.Unlock()
}

// Set replaces the list, which becomes visible after the lag.
func (platform *Platform) Set(items []Listed) {
	platform.mutex.Lock()
	platform.versions = append(platform.versions, listVersion{at: time.Now(), items: items})
	platform.mutex.Unlock()
}

func (platform *Platform) visibleList() []Listed {
	for len(platform.versions) > 1 && time.Since(platform.versions[1].at) >= platform.lag {
		platform.versions = platform.versions[1:]
	}
	return platform.versions[0].items
}

// ServeHTTP serves the list, usage reports and the commands under /stand/.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch mode := platform.currentMode(); {
	case mode == "gone" || mode == "usage-gone" && request.URL.Path == "/v1/usage":
		hijack(writer, "")
		return
	case mode == "refuse" || mode == "usage-refuse" && request.URL.Path == "/v1/usage":
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case mode == "usage-slow" && request.URL.Path == "/v1/usage":
		time.Sleep(1500 * time.Millisecond)
	case mode == "usage-late" && request.URL.Path == "/v1/usage":
		time.Sleep(3 * time.Second)
	}
	switch request.URL.Path {
	case "/stand/misbehave":
		span, _ := time.ParseDuration(request.URL.Query().Get("span"))
		platform.Misbehave(request.URL.Query().Get("mode"), span)
	case "/v1/backends":
		platform.serveList(writer, request)
	case "/v1/usage":
		platform.serveUsage(writer, request)
	case "/stand/backends":
		items := []Listed{}
		if err := json.NewDecoder(request.Body).Decode(&items); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		platform.Set(items)
	case "/stand/reports":
		platform.mutex.Lock()
		defer platform.mutex.Unlock()
		_ = json.NewEncoder(writer).
			Encode(map[string]any{"reports": platform.Reports, "at_ms": platform.ReportAt, "limited": platform.Limited})
	default:
		http.NotFound(writer, request)
	}
}

func (platform *Platform) serveList(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if !platform.limiter.Allow() {
		platform.Limited++
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	items := platform.visibleList()
	if platform.mode == "shift" && time.Now().Before(platform.until) {
		platform.shifts++
		offset := platform.shifts * 7 % max(len(items), 1)
		items = append(append([]Listed{}, items[offset:]...), items[:offset]...)
	}
	start, _ := strconv.Atoi(request.URL.Query().Get("page"))
	start = min(max(start, 0), len(items))
	end := min(start+platform.pageSize, len(items))
	next := ""
	if end < len(items) {
		next = strconv.Itoa(end)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items[start:end], "next": next})
}

// serveUsage records all bodies received for a report ID, so that the checker can find differing ones.
func (platform *Platform) serveUsage(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 1<<20))
	report := struct {
		ID string `json:"id"`
	}{}
	if err != nil || json.Unmarshal(body, &report) != nil || report.ID == "" {
		http.Error(writer, "usage report is not valid JSON or has no id", http.StatusBadRequest)
		return
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.Reports[report.ID] = append(platform.Reports[report.ID], string(body))
	if platform.ReportAt[report.ID] == 0 {
		platform.ReportAt[report.ID] = time.Now().UnixMilli()
	}
	writer.WriteHeader(http.StatusOK)
}

// Told returns the bodies received for each usage report, by report ID, and the time of the
// first one in milliseconds since the Unix epoch.
func (platform *Platform) Told() (map[string][]string, map[string]int64) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	bodies, firstAt := map[string][]string{}, map[string]int64{}
	for id, sent := range platform.Reports {
		bodies[id], firstAt[id] = append([]string{}, sent...), platform.ReportAt[id]
	}
	return bodies, firstAt
}
