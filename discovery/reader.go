// Package discovery reads the platform's list of backends. The list is paged, lags, is
// rate limited and may shift between pages; a Reader makes a list of it that loses no
// backend by that.
package discovery

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/message"
	"orchidjunction/metrics"
)

const (
	// DefaultInterval is the time between two readings of the list.
	DefaultInterval = time.Second
	// DefaultListsUntilGone is how many whole lists in a row must lack a backend until it
	// is gone.
	DefaultListsUntilGone = 3

	pageTimeout    = 2 * time.Second
	maxPages       = 1000
	maxPageRetries = 60

	// freshList is how old a list may be that a new leader goes on with.
	freshList = 2 * time.Second
	// warmJitterMs is the change of a backend's time of being warm that is ignored.
	warmJitterMs = 400
)

// Page is one page of the list and the name of the next one, or why there is none. With a
// RetryAfter the same page may be asked for again after that time.
type Page struct {
	Backends   []message.Backend
	Next       string
	RetryAfter time.Duration
	Err        error
}

// Lister returns the page of a name; the first page's name is empty.
type Lister func(ctx context.Context, name string) Page

// Options are how a Reader reads. Now returns the time of day in milliseconds since the
// Unix epoch.
type Options struct {
	Lister         Lister
	Interval       time.Duration
	ListsUntilGone int
	Now            func() int64
}

// Reader reads the list again and again. Only a list that was read to its end counts, and
// a backend is gone only when several such lists in a row lack it. A list that names a
// backend twice shifted while it was read, and what it lacks says nothing. A Reader is
// safe for concurrent use, but Read runs in one goroutine.
type Reader struct {
	options  Options
	counters *metrics.Counters
	readTime *metrics.Histogram

	mutex       sync.Mutex
	backends    map[string]message.Backend
	sorted      []message.Backend // nil if backends changed since
	missed      map[string]int
	complete    bool
	completedAt time.Time
	retryAfter  time.Duration
}

// NewReader returns a Reader that has read nothing.
func NewReader(options Options, counters *metrics.Counters) *Reader {
	return &Reader{
		options:  options,
		counters: counters,
		readTime: counters.Histogram("backend_list_read_seconds"),
		backends: map[string]message.Backend{},
		missed:   map[string]int{},
	}
}

// Reset begins a leadership's reading with the backends of the table that it holds, so
// that a first list which lags or shifted takes nothing away. If there are none, a list
// that was read a moment ago stays.
func (reader *Reader) Reset(held []message.Backend) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if len(held) == 0 && reader.complete && time.Since(reader.completedAt) < freshList {
		return
	}
	reader.complete = false
	reader.backends, reader.missed, reader.sorted = map[string]message.Backend{}, map[string]int{}, nil
	for _, backend := range held {
		reader.backends[backend.Name] = backend
	}
	reader.retryAfter = 0
}

// Interval returns the pause until the next reading.
func (reader *Reader) Interval() time.Duration {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.retryAfter > 0 {
		return reader.retryAfter
	}
	if !reader.complete {
		return reader.options.Interval / 10
	}
	return reader.options.Interval
}

// Backends returns the backends sorted by name, and whether a list was read to its end.
// The same slice is returned until a list differs; it must not be changed.
func (reader *Reader) Backends() ([]message.Backend, bool) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.sorted == nil {
		reader.sorted = make([]message.Backend, 0, len(reader.backends))
		reader.sorted = slices.AppendSeq(reader.sorted, maps.Values(reader.backends))
		slices.SortFunc(reader.sorted, func(left, right message.Backend) int { return strings.Compare(left.Name, right.Name) })
	}
	return reader.sorted, reader.complete
}

// Read reads the list once. A page that the platform puts off is asked for again, not the
// whole list, or a list longer than the allowed burst would never end. Sleep pauses and
// returns false when the process stops; Read ends early when goesOn returns false.
func (reader *Reader) Read(sleep func(time.Duration) bool, goesOn func() bool) {
	begin := time.Now()
	list := &list{backends: map[string]message.Backend{}}
	name, retries := "", 0
	for pages := 0; ; {
		page := reader.page(name)
		isPutOff := page.Err != nil && page.RetryAfter > 0 && retries < maxPageRetries
		if isPutOff && sleep(page.RetryAfter) && goesOn() {
			retries++
			continue
		}
		if page.Err != nil || pages >= maxPages {
			reader.failed(page.RetryAfter)
			return
		}
		if refused := list.add(page.Backends); refused > 0 {
			reader.counters.Add("platform_items_refused", refused)
		}
		if name = page.Next; name == "" {
			break
		}
		pages++
	}
	reader.counters.Add("platform_reads_whole", 1)
	reader.readTime.Observe(time.Since(begin))
	if leaving := reader.take(list); leaving > 0 {
		klog.Infof("backend list: %d backends newly leaving, in a reading of %v", leaving, time.Since(begin))
	}
}

func (reader *Reader) page(name string) Page {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	reader.counters.Add("platform_list_calls", 1)
	return reader.options.Lister(ctx, name)
}

func (reader *Reader) failed(retryAfter time.Duration) {
	reader.counters.Add("platform_reads_broken", 1)
	reader.mutex.Lock()
	reader.retryAfter = retryAfter
	reader.mutex.Unlock()
}

// list is what one reading has found.
type list struct {
	backends map[string]message.Backend
	shifted  bool // a backend was named twice
}

// add adds a page's backends and returns how many of them were invalid.
func (list *list) add(backends []message.Backend) (refused uint64) {
	for _, backend := range backends {
		if _, err := netip.ParseAddrPort(backend.Address); err != nil || backend.Name == "" || backend.Service == "" {
			refused++
			continue
		}
		_, isKnown := list.backends[backend.Name]
		list.shifted = list.shifted || isKnown
		list.backends[backend.Name] = backend
	}
	return refused
}

// take takes a list that was read to its end and returns how many backends it is the
// first to call leaving.
func (reader *Reader) take(list *list) (newlyLeaving int) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.retryAfter = 0
	reader.complete, reader.completedAt = true, time.Now()
	for name, backend := range list.backends {
		former, found := reader.backends[name]
		if next := reader.merge(former, backend); !found || next != former {
			reader.backends[name], reader.sorted = next, nil
			if next.Leaving && !former.Leaving {
				newlyLeaving++
			}
		}
		delete(reader.missed, name)
	}
	if list.shifted {
		reader.counters.Add("platform_lists_shifted", 1)
		return newlyLeaving
	}
	reader.dropMissing(list)
	return newlyLeaving
}

// dropMissing removes the backends that several lists in a row lack.
func (reader *Reader) dropMissing(list *list) {
	for name := range reader.backends {
		if _, found := list.backends[name]; found {
			continue
		}
		reader.missed[name]++
		if reader.missed[name] >= reader.options.ListsUntilGone {
			delete(reader.backends, name)
			delete(reader.missed, name)
			reader.sorted = nil
		}
	}
}

// merge returns a listed backend over what is known of it, which is a zero Backend if
// that is nothing. One that leaves never stays again, and the time of being warm does not
// change by jitter, nor by a page from before the backend turned cold.
func (reader *Reader) merge(former, listed message.Backend) message.Backend {
	listed.Leaving = listed.Leaving || former.Leaving
	isNear := listed.WarmAtMs > former.WarmAtMs-warmJitterMs && listed.WarmAtMs < former.WarmAtMs+warmJitterMs
	isJitter := former.WarmAtMs > 0 && isNear
	isOldPage := listed.WarmAtMs == 0 && former.WarmAtMs > reader.options.Now()
	if isJitter || isOldPage {
		listed.WarmAtMs = former.WarmAtMs
	}
	return listed
}
