package discovery

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/message"
)

// maxConcurrentLists is how many zones' lists are read at once.
const maxConcurrentLists = 16

// list is what one reading has found in a zone, or in all if zone is empty.
type list struct {
	zone     string
	backends map[string]message.Backend
	shifted  bool // a backend was named twice
}

func newList(zone string) *list {
	return &list{zone: zone, backends: map[string]message.Backend{}}
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

// covers reports whether the list would name a backend that the platform still has.
func (list *list) covers(backend message.Backend) bool {
	return list.zone == wholeList || list.zone == backend.Zone
}

// outcome is how the reading of a list ended.
type outcome int

const (
	readToEnd outcome = iota
	readingFailed
	readingTooSlow // a whole list that is better read by zone
)

// reading is one reading of the list, in one part or in several at once.
type reading struct {
	reader     *Reader
	goroutines *concurrent.Group
	goesOn     func() bool
	begin      time.Time

	mutex      sync.Mutex
	retryAfter time.Duration // the longest that the platform asked for in vain
}

// run reads the list whole, or by zone if reading it whole takes too long.
func (reading *reading) run() {
	zones := reading.reader.partition()
	failed := false
	if len(zones) == 1 {
		ended := reading.readList(zones[0])
		failed = ended == readingFailed
		if ended == readingTooSlow {
			zones = reading.reader.zones()
		}
	}
	if len(zones) > 1 {
		failed = !reading.readZones(zones)
	}
	reading.end(zones, failed)
}

// end tells the reader how the reading ended.
func (reading *reading) end(zones []string, failed bool) {
	reader, took := reading.reader, time.Since(reading.begin)
	if failed {
		reader.counters.Add("platform_reads_broken", 1)
	} else {
		reader.counters.Add("platform_reads_whole", 1)
		reader.readTime.Observe(took)
	}
	reading.mutex.Lock()
	retryAfter := reading.retryAfter
	reading.mutex.Unlock()
	reader.readingEnds(zones, failed, took, retryAfter)
}

// readZones reads the lists of zones, some of them at once. It returns false if any of
// them was not read to its end.
func (reading *reading) readZones(zones []string) bool {
	readers := min(len(zones), maxConcurrentLists)
	results, _ := concurrent.Gather(reading.goroutines, readers, func(first int) (bool, error) {
		ok := true
		for index := first; index < len(zones); index += readers {
			ok = reading.readList(zones[index]) == readToEnd && ok
		}
		return ok, nil
	}, func(map[int]bool, map[int]error) bool { return false })
	for _, ok := range results {
		if !ok {
			return false
		}
	}
	return true
}

// readList reads the list of one zone, or the whole list as long as that is fast enough.
func (reading *reading) readList(zone string) outcome {
	list, request := newList(zone), PageRequest{Zone: zone}
	for range maxPages {
		page, err := reading.readPage(request)
		if err != nil {
			return readingFailed
		}
		if refused := list.add(page.Backends); refused > 0 {
			reading.reader.counters.Add("platform_items_refused", refused)
		}
		if request.Token = page.Next; request.Token == "" {
			reading.reader.takeList(list)
			return readToEnd
		}
		if zone == wholeList && reading.reader.isSlow(len(list.backends)) {
			return readingTooSlow
		}
	}
	return readingFailed
}

// readPage asks for a page until the platform gives it or refuses it for good.
func (reading *reading) readPage(request PageRequest) (Page, error) {
	for retries := 0; ; retries++ {
		page := reading.call(request)
		if page.Err == nil {
			reading.takePage(page)
			return page, nil
		}
		if page.RetryAfter > 0 {
			reading.reader.counters.Add("platform_calls_put_off", 1)
		}
		isPutOff := page.RetryAfter > 0 && retries < maxPageRetries
		if !isPutOff || !reading.goroutines.Sleep(page.RetryAfter) || !reading.goesOn() {
			reading.failed(page.RetryAfter)
			return page, page.Err
		}
	}
}

// call asks for a page once.
func (reading *reading) call(request PageRequest) Page {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	begin := time.Now()
	page := reading.reader.options.Lister(ctx, request)
	reading.reader.counters.Add("platform_list_calls", 1)
	if page.Err == nil {
		reading.reader.observePage(len(page.Backends), time.Since(begin))
	}
	return page
}

// takePage takes what counts before the list is read to its end.
func (reading *reading) takePage(page Page) {
	if leaving := reading.reader.takePage(page.Backends); leaving > 0 {
		klog.Infof("backend list: %d backends newly leaving, %v after the reading began", leaving, time.Since(reading.begin))
	}
}

func (reading *reading) failed(retryAfter time.Duration) {
	reading.mutex.Lock()
	defer reading.mutex.Unlock()
	reading.retryAfter = max(reading.retryAfter, retryAfter)
}
