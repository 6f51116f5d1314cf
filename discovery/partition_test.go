package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
)

const (
	testInterval = 600 * time.Millisecond
	testPageSize = 50
)

// fakePlatform lists backends by zone; each page takes callDuration.
type fakePlatform struct {
	mutex        sync.Mutex
	backends     []message.Backend
	callDuration time.Duration
	calls        int
	respond      func(request PageRequest) Page // a Page with Err makes the call fail
}

func newFakePlatform(backends, zones int, callDuration time.Duration) *fakePlatform {
	platform := &fakePlatform{callDuration: callDuration, respond: func(PageRequest) Page { return Page{} }}
	for index := range backends {
		platform.backends = append(platform.backends, message.Backend{
			Name:    fmt.Sprintf("backend-%04d", index),
			Service: "service",
			Address: "10.0.0.1:80",
			Zone:    fmt.Sprint("zone-", index%zones),
		})
	}
	return platform
}

func (platform *fakePlatform) page(_ context.Context, request PageRequest) Page {
	time.Sleep(platform.callDuration)
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.calls++
	if page := platform.respond(request); page.Err != nil {
		return page
	}
	listed := []message.Backend{}
	for _, backend := range platform.backends {
		if request.Zone == "" || request.Zone == backend.Zone {
			listed = append(listed, backend)
		}
	}
	start, _ := strconv.Atoi(request.Token)
	end := min(start+testPageSize, len(listed))
	page := Page{Backends: listed[start:end]}
	if end < len(listed) {
		page.Next = strconv.Itoa(end)
	}
	return page
}

func (platform *fakePlatform) newReader(zones int) *Reader {
	names := []string{}
	for index := range zones {
		names = append(names, fmt.Sprint("zone-", index))
	}
	return NewReader(Options{
		Lister:                   platform.page,
		Zones:                    func() []string { return names },
		Interval:                 testInterval,
		MissingListsUntilRemoved: 2,
		Now:                      func() int64 { return 0 },
	}, metrics.NewCounters())
}

func findBackend(reader *Reader, name string) (message.Backend, bool) {
	backends, _ := reader.Backends()
	for _, backend := range backends {
		if backend.Name == name {
			return backend, true
		}
	}
	return message.Backend{}, false
}

// Guards against late drains: a long list with slow pages was read sequentially, 22 calls
// of 110 ms, before anything in it took effect.
func TestLongSlowListIsReadByZone(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		platform := newFakePlatform(1080, 9, 110*time.Millisecond)
		reader := platform.newReader(9)
		for number := range 3 {
			begin := time.Now()
			scanOnce(reader)
			backends, isComplete := reader.Backends()
			if len(backends) != 1080 || !isComplete {
				test.Errorf("scan %d: %d backends, complete %v", number, len(backends), isComplete)
			}
			duration := time.Since(begin)
			if number > 0 && duration > 330*time.Millisecond {
				test.Errorf("scan %d took %v, want 3 calls of 110 ms", number, duration)
			}
			if period := duration + reader.Interval(); number > 0 && (period < testInterval*7/4 || period > testInterval*2) {
				test.Errorf("scan %d begins %v after the previous one", number+1, period)
			}
		}
	})
}

// Guards against needless calls: a fast list, or one of a single page, is read as a whole.
func TestFastOrShortListIsReadWhole(test *testing.T) {
	for _, listCase := range []struct {
		backends, calls int
		callTime        time.Duration
	}{{1080, 22, 2 * time.Millisecond}, {270, 6, 70 * time.Millisecond}, {36, 1, time.Second}} {
		synctest.Test(test, func(test *testing.T) {
			platform := newFakePlatform(listCase.backends, 9, listCase.callTime)
			reader := platform.newReader(9)
			for range 4 {
				scanOnce(reader)
			}
			if platform.calls != 4*listCase.calls {
				test.Errorf("%d backends, %v per call: %d calls for 4 scans", listCase.backends, listCase.callTime, platform.calls)
			}
		})
	}
}

// Guards against late drains: leaving took effect only when the list was read to its end,
// and never if a later page failed.
func TestLeavingTakesEffectBeforeListIsComplete(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		platform := newFakePlatform(120, 1, time.Millisecond)
		reader := platform.newReader(1)
		scanOnce(reader)
		platform.backends[10].Leaving = true
		platform.respond = func(request PageRequest) Page {
			if request.Token != "" {
				return Page{Err: errors.New("unavailable")}
			}
			return Page{}
		}
		scanOnce(reader)
		if backend, _ := findBackend(reader, "backend-0010"); !backend.Leaving {
			test.Error("a leaving backend on the first page is not marked")
		}
	})
}

// Guards against backends lost, or kept for ever, by scans by zone: a zone whose list is
// rate limited or fails loses no backend and delays no other zone; a backend that is missing
// from two lists of its zone is removed; the list is complete only when each zone was read.
func TestZoneFailuresAreIndependent(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		platform := newFakePlatform(1080, 9, 110*time.Millisecond)
		reader := platform.newReader(9)
		unavailable := Page{Err: errors.New("unavailable")}
		platform.respond = func(request PageRequest) Page {
			if request.Zone == "zone-3" {
				return unavailable
			}
			return Page{}
		}
		scanOnce(reader)
		if backends, isComplete := reader.Backends(); isComplete || len(backends) != 960 {
			test.Errorf("%d backends, complete %v, before all zones were read", len(backends), isComplete)
		}
		platform.respond = func(PageRequest) Page { return Page{} }
		scanOnce(reader)
		if backends, isComplete := reader.Backends(); !isComplete || len(backends) != 1080 {
			test.Fatalf("%d backends, complete %v, after all zones were read", len(backends), isComplete)
		}
		platform.backends = platform.backends[:1072] // without one of each zone but the last
		rateLimited := Page{Err: errors.New("rate limited"), RetryAfter: 2 * time.Second}
		limitedUntil := time.Now().Add(2 * time.Second)
		platform.respond = func(request PageRequest) Page {
			if request.Zone == "zone-3" && time.Now().Before(limitedUntil) {
				return rateLimited
			}
			if request.Zone == "zone-5" {
				return unavailable
			}
			return Page{}
		}
		platform.backends[0].Leaving = true // of zone-0
		group := concurrent.NewGroup()
		group.Start(func() { scanOnce(reader); scanOnce(reader) })
		time.Sleep(time.Second)
		if backend, _ := findBackend(reader, "backend-0000"); !backend.Leaving {
			test.Error("a leaving backend is not marked while another zone is rate limited")
		}
		group.Wait()
		for index := 1072; index < 1080; index++ {
			name, zone := fmt.Sprintf("backend-%04d", index), index%9
			if _, found := findBackend(reader, name); found != (zone == 5) {
				test.Errorf("%s of zone %d: known %v after missing from two lists, zone read %v", name, zone, found, zone != 5)
			}
		}
	})
}
