package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

const (
	listInterval    = time.Second
	platformTimeout = 2 * time.Second
	maxPageBytes    = 4 << 20
	maxPages        = 1000
	maxPageRetries  = 60
	listsUntilGone  = 3

	firstListTTL = 2 * time.Second
	warmJitterMs = 400
)

// Listing is one page of the list of backends and the name of the next, or why
// there is none; with a wait, the page may be asked for again after it.
type Listing struct {
	Backends   []message.Backend
	Next       string
	RetryAfter time.Duration
	Err        error
}

type platformPage struct {
	Items []message.Backend `json:"items"`
	Next  string            `json:"next"`
}

// BackendReader reads the paged list; only a list read to its end counts, and
// a backend is gone only when several whole lists in a row lack it. A list that
// names one twice shifted while it was read, and what it lacks says nothing.
type BackendReader struct {
	lister         func(ctx context.Context, page string) Listing
	listInterval   time.Duration
	listsUntilGone int
	now            func() int64
	counters       *metrics.Counters

	mutex       sync.Mutex
	backends    map[string]message.Backend
	sorted      []message.Backend
	missed      map[string]int
	complete    bool
	completedAt time.Time
	retryAfter  time.Duration
}

func newBackendReader(place *Config, transport http.RoundTripper, now func() int64, counters *metrics.Counters) *BackendReader {
	reader := &BackendReader{lister: place.ListBackends, listInterval: place.ListInterval, listsUntilGone: place.ListsUntilGone, now: now, counters: counters,
		backends: map[string]message.Backend{}, missed: map[string]int{}}
	if reader.lister == nil && place.PlatformAddress != "" {
		pages := &platformPages{address: place.PlatformAddress, client: &http.Client{Transport: transport}, counters: counters}
		reader.lister = pages.list
	}
	return reader
}

// reset starts a leadership's reading from the table it holds, so that a first
// list that lags or shifted between pages takes nothing away. Where there is no
// table, a list read a moment ago stands.
func (reader *BackendReader) reset(held []message.Backend) {
	reader.mutex.Lock()
	if len(held) == 0 && reader.complete && time.Since(reader.completedAt) < firstListTTL {
		reader.mutex.Unlock()
		return
	}
	reader.complete = false
	reader.backends, reader.missed, reader.sorted = map[string]message.Backend{}, map[string]int{}, nil
	for _, backend := range held {
		reader.backends[backend.Name] = backend
	}
	reader.retryAfter = 0
	reader.mutex.Unlock()
}

func (reader *BackendReader) interval() time.Duration {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.retryAfter > 0 {
		return reader.retryAfter
	}
	if !reader.complete {
		return reader.listInterval / 10
	}
	return reader.listInterval
}

// sortedBackends gives the backends by name; who gets them changes nothing in them, since
// the same ones are given until a list differs.
func (reader *BackendReader) sortedBackends() ([]message.Backend, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.sorted != nil {
		return reader.sorted, reader.complete
	}
	all := make([]message.Backend, 0, len(reader.backends))
	for _, backend := range reader.backends {
		all = append(all, backend)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].Name < all[right].Name })
	reader.sorted = all
	return all, reader.complete
}

func (core *Core) readBackends() {
	leadership, err := core.currentLeadership()
	if err != nil && core.neverHeardLeader() {
		core.backends.read(core.goroutines.Sleep, core.neverHeardLeader)
		return
	}
	if err != nil || leadership.check() != nil {
		return
	}
	core.backends.read(core.goroutines.Sleep, func() bool { return leadership.check() == nil })
}

// read goes through all pages; one that the platform puts off is asked again,
// not the whole list, or a list longer than the allowed burst would never end.
func (reader *BackendReader) read(rest func(time.Duration) bool, going func() bool) {
	listed, twice := map[string]message.Backend{}, false
	next := ""
	for pages, putOff := 0, 0; ; pages++ {
		page := reader.page(next)
		if page.Err != nil && page.RetryAfter > 0 && putOff < maxPageRetries && rest(page.RetryAfter) && going() {
			putOff++
			pages--
			continue
		}
		if page.Err != nil || pages >= maxPages {
			reader.counters.Add("platform_reads_broken", 1)
			reader.mutex.Lock()
			reader.retryAfter = page.RetryAfter
			reader.mutex.Unlock()
			return
		}
		for _, backend := range page.Backends {
			if _, err := netip.ParseAddrPort(backend.Address); err != nil || backend.Name == "" || backend.Service == "" {
				reader.counters.Add("platform_items_refused", 1)
				continue
			}
			_, again := listed[backend.Name]
			twice = twice || again
			listed[backend.Name] = backend
		}
		if next = page.Next; next == "" {
			break
		}
	}
	reader.counters.Add("platform_reads_whole", 1)
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.retryAfter = 0
	reader.complete, reader.completedAt = true, time.Now()
	for name, backend := range listed {
		before, found := reader.backends[name]
		if next := reader.merge(backend); !found || next != before {
			reader.backends[name], reader.sorted = next, nil
		}
		delete(reader.missed, name)
	}
	if twice {
		reader.counters.Add("platform_lists_shifted", 1)
		return
	}
	for name := range reader.backends {
		if _, found := listed[name]; found {
			continue
		}
		if reader.missed[name]++; reader.missed[name] >= reader.listsUntilGone {
			delete(reader.backends, name)
			delete(reader.missed, name)
			reader.sorted = nil
		}
	}
}

// merge is a listed backend over what is known of it: who leaves never stays
// again, and the time of being warm doesn't change by jitter, nor by a page
// from before the cold began.
func (reader *BackendReader) merge(backend message.Backend) message.Backend {
	before, found := reader.backends[backend.Name]
	if !found {
		return backend
	}
	backend.Leaving = backend.Leaving || before.Leaving
	near := backend.WarmAtMs > before.WarmAtMs-warmJitterMs && backend.WarmAtMs < before.WarmAtMs+warmJitterMs
	if before.WarmAtMs > 0 && near || backend.WarmAtMs == 0 && before.WarmAtMs > reader.now() {
		backend.WarmAtMs = before.WarmAtMs
	}
	return backend
}

func (reader *BackendReader) page(next string) Listing {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	return reader.lister(ctx, next)
}

// platformPages is the list as the product's own platform serves it.
type platformPages struct {
	address  string
	client   *http.Client
	counters *metrics.Counters
}

func (pages *platformPages) list(ctx context.Context, next string) Listing {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+pages.address+"/v1/backends?page="+url.QueryEscape(next), nil)
	if err != nil {
		return Listing{Err: rpc.Errorf(rpc.PlatformError, "%v", err)}
	}
	response, err := pages.client.Do(request)
	if err != nil {
		return Listing{Err: rpc.Errorf(rpc.PlatformError, "%v", err)}
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		pages.counters.Add("platform_rate_limited", 1)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil || seconds < 0 || seconds > 60 {
			seconds = 1
		}
		return Listing{RetryAfter: time.Duration(seconds*float64(time.Second)) + 10*time.Millisecond, Err: rpc.Errorf(rpc.PlatformError, "rate limited")}
	}
	if response.StatusCode != http.StatusOK {
		return Listing{Err: rpc.Errorf(rpc.PlatformError, "%s", fmt.Sprint(response.Status))}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	if err != nil || len(body) > maxPageBytes {
		return Listing{Err: rpc.Errorf(rpc.PlatformError, "page of %d bytes: %v", len(body), err)}
	}
	page := &platformPage{}
	if err := json.Unmarshal(body, page); err != nil {
		return Listing{Err: rpc.Errorf(rpc.PlatformError, "page: %v", err)}
	}
	return Listing{Backends: page.Items, Next: page.Next}
}
