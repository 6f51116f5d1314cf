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

// maxConcurrentZones is how many zones' lists are read concurrently.
const maxConcurrentZones = 16

// list holds the backends that one scan found in a zone, or in all zones if zone is empty.
type list struct {
	zone     string
	backends map[string]message.Backend
	shifted  bool // a backend was named twice
}

func newList(zone string) *list {
	return &list{zone: zone, backends: map[string]message.Backend{}}
}

// add adds a page's valid backends and returns the number of invalid ones.
func (list *list) add(backends []message.Backend) (invalid uint64) {
	for _, backend := range backends {
		if _, err := netip.ParseAddrPort(backend.Address); err != nil || backend.Name == "" || backend.Service == "" {
			invalid++
			continue
		}
		_, isKnown := list.backends[backend.Name]
		list.shifted = list.shifted || isKnown
		list.backends[backend.Name] = backend
	}
	return invalid
}

// covers reports whether a complete list includes the backend if the platform still has it.
func (list *list) covers(backend message.Backend) bool {
	return list.zone == allZones || list.zone == backend.Zone
}

type outcome int

const (
	listComplete outcome = iota
	listFailed
	listTooSlow // the whole list takes too long and should be read by zone
)

// scan is one pass over the list, as a whole or by zones concurrently.
type scan struct {
	reader         *Reader
	goroutines     *concurrent.Group
	shouldContinue func() bool
	startedAt      time.Time

	mutex      sync.Mutex
	retryAfter time.Duration // the longest RetryAfter of a page that was given up
}

// run reads the whole list, or reads it by zone if the whole takes too long.
func (scan *scan) run() {
	zones := scan.reader.zonesToScan()
	failed := false
	if len(zones) == 1 {
		result := scan.readList(zones[0])
		failed = result == listFailed
		if result == listTooSlow {
			zones = scan.reader.zones()
		}
	}
	if len(zones) > 1 {
		failed = !scan.readZones(zones)
	}
	scan.finish(zones, failed)
}

func (scan *scan) finish(zones []string, failed bool) {
	reader, duration := scan.reader, time.Since(scan.startedAt)
	if failed {
		reader.counters.Add("platform_reads_broken", 1)
	} else {
		reader.counters.Add("platform_reads_whole", 1)
		reader.scanTime.Observe(duration)
	}
	scan.mutex.Lock()
	retryAfter := scan.retryAfter
	scan.mutex.Unlock()
	reader.finishScan(zones, failed, duration, retryAfter)
}

// readZones reads the lists of zones concurrently. It returns false if any of them was not
// read to its end.
func (scan *scan) readZones(zones []string) bool {
	workers := min(len(zones), maxConcurrentZones)
	results, _ := concurrent.Gather(scan.goroutines, workers, func(first int) (bool, error) {
		ok := true
		for index := first; index < len(zones); index += workers {
			ok = scan.readList(zones[index]) == listComplete && ok
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

// readList reads the list of one zone, or the whole list unless it turns out too slow.
func (scan *scan) readList(zone string) outcome {
	list, request := newList(zone), PageRequest{Zone: zone}
	for range maxPages {
		page, err := scan.readPageWithRetries(request)
		if err != nil {
			return listFailed
		}
		if invalid := list.add(page.Backends); invalid > 0 {
			scan.reader.counters.Add("platform_items_refused", invalid)
		}
		if request.Token = page.Next; request.Token == "" {
			scan.reader.mergeList(list)
			return listComplete
		}
		if zone == allZones && scan.reader.isTooSlow(len(list.backends)) {
			return listTooSlow
		}
	}
	return listFailed
}

// readPageWithRetries retries a page while the platform returns RetryAfter, at most
// maxPageRetries times.
func (scan *scan) readPageWithRetries(request PageRequest) (Page, error) {
	for retries := 0; ; retries++ {
		page := scan.requestPage(request)
		if page.Err == nil {
			scan.markLeaving(page)
			return page, nil
		}
		if page.RetryAfter > 0 {
			scan.reader.counters.Add("platform_calls_put_off", 1)
		}
		canRetry := page.RetryAfter > 0 && retries < maxPageRetries
		if !canRetry || !scan.goroutines.Sleep(page.RetryAfter) || !scan.shouldContinue() {
			scan.recordRetryAfter(page.RetryAfter)
			return page, page.Err
		}
	}
}

func (scan *scan) requestPage(request PageRequest) Page {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	begin := time.Now()
	page := scan.reader.options.Lister(ctx, request)
	scan.reader.counters.Add("platform_list_calls", 1)
	if page.Err == nil {
		scan.reader.recordPage(len(page.Backends), time.Since(begin))
	}
	return page
}

// markLeaving marks a page's leaving backends before the list is read to its end.
func (scan *scan) markLeaving(page Page) {
	if leaving := scan.reader.markLeaving(page.Backends); leaving > 0 {
		klog.Infof("backend list: %d backends newly leaving, %v after the scan began", leaving, time.Since(scan.startedAt))
	}
}

func (scan *scan) recordRetryAfter(retryAfter time.Duration) {
	scan.mutex.Lock()
	defer scan.mutex.Unlock()
	scan.retryAfter = max(scan.retryAfter, retryAfter)
}
