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

// Listed is one backend in the platform's list.
type Listed struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// Platform is an HTTP handler that behaves as the platform: it lists backends in
// pages, late and rate-limited, and takes usage reports.
type Platform struct {
	page    int
	lag     time.Duration
	limiter *rate.Limiter

	mutex    sync.Mutex
	lists    []datedList
	Reports  map[string][]string
	ReportAt map[string]int64
	Limited  int
	mode     string
	until    time.Time
	turns    int
}

type datedList struct {
	at    time.Time
	items []Listed
}

// NewPlatform returns a platform that lists items, page entries a page, late by
// lag, and takes perSecond calls a second.
func NewPlatform(page int, lag time.Duration, perSecond float64, items []Listed) *Platform {
	return &Platform{
		page: max(page, 1), lag: lag, limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1)),
		lists: []datedList{{items: items}}, Reports: map[string][]string{}, ReportAt: map[string]int64{},
	}
}

// Misbehave injects the named fault for a while: the platform refuses, vanishes or
// shifts its pages, or its usage side refuses, answers slowly or too late.
func (platform *Platform) Misbehave(mode string, span time.Duration) {
	platform.mutex.Lock()
	platform.mode, platform.until = mode, time.Now().Add(span)
	platform.mutex.Unlock()
}

func (platform *Platform) now() string {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if time.Now().After(platform.until) {
		return ""
	}
	return platform.mode
}

// SetLag sets how late the list is.
func (platform *Platform) SetLag(lag time.Duration) {
	platform.mutex.Lock()
	platform.lag = lag
	platform.mutex.Unlock()
}

// Set replaces the list; callers see it once the lag is over.
func (platform *Platform) Set(items []Listed) {
	platform.mutex.Lock()
	platform.lists = append(platform.lists, datedList{at: time.Now(), items: items})
	platform.mutex.Unlock()
}

func (platform *Platform) visible() []Listed {
	for len(platform.lists) > 1 && time.Since(platform.lists[1].at) >= platform.lag {
		platform.lists = platform.lists[1:]
	}
	return platform.lists[0].items
}

// ServeHTTP answers calls for the list, usage reports, and the commands under
// /stand/.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch mode := platform.now(); {
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
		platform.list(writer, request)
	case "/v1/usage":
		platform.usage(writer, request)
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

func (platform *Platform) list(writer http.ResponseWriter, request *http.Request) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if !platform.limiter.Allow() {
		platform.Limited++
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	items := platform.visible()
	if platform.mode == "shift" && time.Now().Before(platform.until) {
		platform.turns++
		turned := platform.turns * 7 % max(len(items), 1)
		items = append(append([]Listed{}, items[turned:]...), items[:turned]...)
	}
	start, _ := strconv.Atoi(request.URL.Query().Get("page"))
	start = min(max(start, 0), len(items))
	end := min(start+platform.page, len(items))
	next := ""
	if end < len(items) {
		next = strconv.Itoa(end)
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items[start:end], "next": next})
}

// usage keeps every body that came for a report's id, so that differing ones show.
func (platform *Platform) usage(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(io.LimitReader(request.Body, 1<<20))
	report := struct {
		ID string `json:"id"`
	}{}
	if err != nil || json.Unmarshal(body, &report) != nil || report.ID == "" {
		http.Error(writer, "bad report", http.StatusBadRequest)
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

// Told returns the bodies sent for each usage report, by report id, and when the
// first one came, in milliseconds since the Unix epoch.
func (platform *Platform) Told() (map[string][]string, map[string]int64) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	bodies, at := map[string][]string{}, map[string]int64{}
	for id, sent := range platform.Reports {
		bodies[id], at[id] = append([]string{}, sent...), platform.ReportAt[id]
	}
	return bodies, at
}
