// Package discovery reads the platform's list of backends. The list is paged, lags, is
// rate limited and may shift between pages; a Reader makes a list of it that loses no
// backend by that.
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

// PageRequest names a page of the list: of one zone's, or of the whole list if Zone is
// empty. The Token is empty for the first page.
type PageRequest struct {
	Zone  string
	Token string
}

// Page is one page of the list and the token of the next one, or why there is none. With a
// RetryAfter the same page may be asked for again after that time.
type Page struct {
	Backends   []message.Backend
	Next       string
	RetryAfter time.Duration
	Err        error
}

// Lister returns a page.
type Lister func(ctx context.Context, request PageRequest) Page

// Options are how a Reader reads. Now returns the time of day in milliseconds since the
// Unix epoch. Zones returns those by which the platform lists backends; it is nil if the
// Lister knows only the whole list.
type Options struct {
	Lister         Lister
	Zones          func() []string
	Interval       time.Duration
	ListsUntilGone int
	Now            func() int64
}

// Reader reads the list again and again: whole, or zone by zone where that takes too long
// (partition.go). Only a list that was read to its end counts, and a backend is gone only
// when several such lists in a row lack it. A list that names a backend twice shifted while
// it was read, and what it lacks says nothing. That a backend leaves is never taken back, so
// each page counts at once for it. A Reader is safe for concurrent use, but Read runs in one
// goroutine.
type Reader struct {
	options  Options
	counters *metrics.Counters
	readTime *metrics.Histogram

	mutex       sync.Mutex
	backends    map[string]message.Backend
	sorted      []message.Backend // nil if backends changed since
	missed      map[string]int
	zonesRead   map[string]bool // to their ends, since the last Reset
	complete    bool
	completedAt time.Time
	retryAfter  time.Duration
	pause       time.Duration // until the next reading, in calm
	pace        pace
}

// NewReader returns a Reader that has read nothing.
func NewReader(options Options, counters *metrics.Counters) *Reader {
	return &Reader{
		options:  options,
		counters: counters,
		readTime: counters.Histogram("backend_list_read_seconds"),
		backends: map[string]message.Backend{},
		missed:   map[string]int{},

		zonesRead: map[string]bool{},
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
	reader.zonesRead = map[string]bool{}
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
	return max(reader.pause, reader.options.Interval)
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
// whole list, or a list longer than the allowed burst would never end. Read ends early when
// the group is stopped or goesOn returns false.
func (reader *Reader) Read(goroutines *concurrent.Group, goesOn func() bool) {
	reading := &reading{reader: reader, goroutines: goroutines, goesOn: goesOn, begin: time.Now()}
	reading.run()
}

// takePage takes at once which backends a page calls leaving, and returns how many of them
// were not known to leave.
func (reader *Reader) takePage(backends []message.Backend) (newlyLeaving int) {
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

// takeList takes a list that was read to its end.
func (reader *Reader) takeList(list *list) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for name, backend := range list.backends {
		former, found := reader.backends[name]
		if next := reader.merge(former, backend); !found || next != former {
			reader.backends[name], reader.sorted = next, nil
		}
		delete(reader.missed, name)
	}
	reader.zonesRead[list.zone] = true
	if list.shifted {
		reader.counters.Add("platform_lists_shifted", 1)
		return
	}
	reader.dropMissing(list)
}

// dropMissing removes the backends that several lists in a row lack.
func (reader *Reader) dropMissing(list *list) {
	for name, backend := range reader.backends {
		if _, found := list.backends[name]; found || !list.covers(backend) {
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

// readingEnds notes that a reading of the lists of some zones has ended, failed if any of
// them did, and when the platform wants to be asked again.
func (reader *Reader) readingEnds(zones []string, failed bool, took, retryAfter time.Duration) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.retryAfter = retryAfter
	reader.pause = reader.pauseAfter(zones, took)
	isUnread := func(zone string) bool { return !reader.zonesRead[zone] }
	if !slices.ContainsFunc(zones, isUnread) {
		reader.complete = true
	}
	if !failed {
		reader.completedAt = time.Now()
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
