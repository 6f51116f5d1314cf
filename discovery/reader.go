// Package discovery reads the platform's list of backends. The list is paged, eventually
// consistent, rate limited, and may shift between pages; a Reader loses no backend by that.
package discovery

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

const (
	// DefaultInterval is the pause between two scans of the list.
	DefaultInterval = time.Second
	// DefaultMissingListsUntilRemoved is how many complete lists in a row must lack a backend before
	// it is removed.
	DefaultMissingListsUntilRemoved = 3

	pageTimeout    = 2 * time.Second
	maxPages       = 1000
	maxPageRetries = 60

	// maxReusableListAge is the age up to which a new leader keeps the list it has.
	maxReusableListAge = 2 * time.Second
	// warmJitterMs is the change of a backend's warm-up end that is ignored.
	warmJitterMs = 400
)

// PageRequest identifies a page of the list of one zone, or of the whole list if Zone is
// empty. Token is empty for the first page.
type PageRequest struct {
	Zone  string
	Token string
}

// Page is one page of the list and the token of the next one, or the error if the call
// failed. If RetryAfter is set, the same page may be requested again after that time.
type Page struct {
	Backends   []message.Backend
	Next       string
	RetryAfter time.Duration
	Err        error
}

// Lister requests a page from the platform.
type Lister func(ctx context.Context, request PageRequest) Page

// Options configure a Reader. Now returns the wall clock in milliseconds since the Unix
// epoch. Zones returns the zones by which the platform lists backends; it is nil if the
// Lister supports only the whole list.
type Options struct {
	Lister                   Lister
	Zones                    func() []string
	Interval                 time.Duration
	MissingListsUntilRemoved int
	Now                      func() int64
}

// Reader scans the list repeatedly: as a whole, or by zone if that takes too long
// (partition.go). Only lists read to their end take effect, and a backend is removed only
// when several such lists in a row lack it. A list that names a backend twice shifted while
// it was read, so backends that it lacks do not count as missing. Leaving is never revoked,
// so it takes effect with each page. A Reader is safe for concurrent use, but Read must run
// in one goroutine only.
type Reader struct {
	options  Options
	counters *metrics.Counters
	scanTime *metrics.Histogram

	mutex        sync.Mutex
	backends     map[string]message.Backend
	sorted       []message.Backend // nil if backends changed since it was built
	missedLists  map[string]int
	scannedZones map[string]bool // read to the end since the last Reset
	complete     bool
	completedAt  time.Time
	retryAfter   time.Duration
	pause        time.Duration // until the next scan, unless incomplete or rate limited
	pageStats    pageStats
}

// NewReader returns a Reader without backends.
func NewReader(options Options, counters *metrics.Counters) *Reader {
	return &Reader{
		options:     options,
		counters:    counters,
		scanTime:    counters.Histogram("backend_list_read_seconds"),
		backends:    map[string]message.Backend{},
		missedLists: map[string]int{},

		scannedZones: map[string]bool{},
	}
}

// Reset starts a new leader's scans with the backends of the table in force, so that a
// first list that is stale or shifted removes none of them. If there are none, a list of
// at most maxReusableListAge is kept.
func (reader *Reader) Reset(known []message.Backend) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if len(known) == 0 && reader.complete && time.Since(reader.completedAt) < maxReusableListAge {
		return
	}
	reader.complete = false
	reader.backends, reader.missedLists, reader.sorted = map[string]message.Backend{}, map[string]int{}, nil
	reader.scannedZones = map[string]bool{}
	for _, backend := range known {
		reader.backends[backend.Name] = backend
	}
	reader.retryAfter = 0
}

// Interval returns the pause until the next scan.
func (reader *Reader) Interval() time.Duration {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	if reader.retryAfter > 0 {
		return reader.retryAfter
	}
	if !reader.complete {
		return reader.options.Interval / 10
	}
	return max(reader.pause, reader.options.Interval)
}

// Backends returns the backends sorted by name, and whether the list is complete: every
// zone was read to the end. The slice is shared until a backend changes and must not be
// modified.
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

// Read scans the list once. After rate limiting it retries the page, not the whole list: a
// list of more pages than the allowed burst would never be read to its end. Read returns
// early when the group is stopped or shouldContinue returns false.
func (reader *Reader) Read(goroutines *concurrent.Group, shouldContinue func() bool) {
	scan := &scan{reader: reader, goroutines: goroutines, shouldContinue: shouldContinue, startedAt: time.Now()}
	scan.run()
}

// markLeaving marks known backends that a page lists as leaving, and returns how many were
// not marked before.
func (reader *Reader) markLeaving(backends []message.Backend) (newlyLeaving int) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for _, listed := range backends {
		known, found := reader.backends[listed.Name]
		if found && listed.Leaving && !known.Leaving {
			known.Leaving = true
			reader.backends[listed.Name], reader.sorted = known, nil
			newlyLeaving++
		}
	}
	return newlyLeaving
}

// mergeList merges a list that was read to its end.
func (reader *Reader) mergeList(list *list) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for name, backend := range list.backends {
		former, found := reader.backends[name]
		if next := reader.mergeBackend(former, backend); !found || next != former {
			reader.backends[name], reader.sorted = next, nil
		}
		delete(reader.missedLists, name)
	}
	reader.scannedZones[list.zone] = true
	if list.shifted {
		reader.counters.Add("platform_lists_shifted", 1)
		return
	}
	reader.dropMissing(list)
}

// dropMissing removes the backends that MissingListsUntilRemoved lists in a row lack.
func (reader *Reader) dropMissing(list *list) {
	for name, backend := range reader.backends {
		if _, found := list.backends[name]; found || !list.covers(backend) {
			continue
		}
		reader.missedLists[name]++
		if reader.missedLists[name] >= reader.options.MissingListsUntilRemoved {
			delete(reader.backends, name)
			delete(reader.missedLists, name)
			reader.sorted = nil
		}
	}
}

// finishScan records the end of a scan of some zones, which failed if the list of any zone
// did, and the platform's RetryAfter.
func (reader *Reader) finishScan(zones []string, failed bool, duration, retryAfter time.Duration) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.retryAfter = retryAfter
	reader.pause = reader.pauseAfter(zones, duration)
	isUnread := func(zone string) bool { return !reader.scannedZones[zone] }
	if !slices.ContainsFunc(zones, isUnread) {
		reader.complete = true
	}
	if !failed {
		reader.completedAt = time.Now()
	}
}

// mergeBackend merges a listed backend into the known one, which is zero if there is none.
// Leaving is never revoked. The known warm-up end is kept if the listed one differs only by
// jitter, or is from a page from before the warm-up began.
func (reader *Reader) mergeBackend(former, listed message.Backend) message.Backend {
	listed.Leaving = listed.Leaving || former.Leaving
	isNear := listed.WarmAtMs > former.WarmAtMs-warmJitterMs && listed.WarmAtMs < former.WarmAtMs+warmJitterMs
	isJitter := former.WarmAtMs > 0 && isNear
	isOldPage := listed.WarmAtMs == 0 && former.WarmAtMs > reader.options.Now()
	if isJitter || isOldPage {
		listed.WarmAtMs = former.WarmAtMs
	}
	return listed
}
