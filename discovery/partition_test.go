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
	testPage     = 50
)

// zonedList is a platform's list by zone whose pages take a time each.
type zonedList struct {
	mutex    sync.Mutex
	backends []message.Backend
	callTime time.Duration
	calls    int
	fails    func(request PageRequest) Page // with an Err if the call fails
}

// newZonedList returns a list of so many backends in zones.
func newZonedList(backends, zones int, callTime time.Duration) *zonedList {
	list := &zonedList{callTime: callTime, fails: func(PageRequest) Page { return Page{} }}
	for index := range backends {
		list.backends = append(list.backends, message.Backend{
			Name:    fmt.Sprintf("backend-%04d", index),
			Service: "service",
			Address: "10.0.0.1:80",
			Zone:    fmt.Sprint("zone-", index%zones),
		})
	}
	return list
}

func (list *zonedList) page(_ context.Context, request PageRequest) Page {
	time.Sleep(list.callTime)
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.calls++
	if page := list.fails(request); page.Err != nil {
		return page
	}
	listed := []message.Backend{}
	for _, backend := range list.backends {
		if request.Zone == "" || request.Zone == backend.Zone {
			listed = append(listed, backend)
		}
	}
	start, _ := strconv.Atoi(request.Token)
	end := min(start+testPage, len(listed))
	page := Page{Backends: listed[start:end]}
	if end < len(listed) {
		page.Next = strconv.Itoa(end)
	}
	return page
}

// reader returns a reader of the list by zones.
func (list *zonedList) reader(zones int) *Reader {
	names := []string{}
	for index := range zones {
		names = append(names, fmt.Sprint("zone-", index))
	}
	return NewReader(Options{
		Lister:         list.page,
		Zones:          func() []string { return names },
		Interval:       testInterval,
		ListsUntilGone: 2,
		Now:            func() int64 { return 0 },
	}, metrics.NewCounters())
}

// has returns a backend as the reader knows it, and whether it does.
func has(reader *Reader, name string) (message.Backend, bool) {
	backends, _ := reader.Backends()
	for _, backend := range backends {
		if backend.Name == name {
			return backend, true
		}
	}
	return message.Backend{}, false
}

// Guards against drains told late: a long list whose pages come slowly was read page after
// page, 22 calls of 110 ms, before anything in it counted.
func TestLongSlowListIsReadByZone(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		list := newZonedList(1080, 9, 110*time.Millisecond)
		reader := list.reader(9)
		for number := range 3 {
			begin := time.Now()
			readOnce(reader)
			backends, isComplete := reader.Backends()
			if len(backends) != 1080 || !isComplete {
				test.Errorf("reading %d: %d backends, complete %v", number, len(backends), isComplete)
			}
			took := time.Since(begin)
			if number > 0 && took > 330*time.Millisecond {
				test.Errorf("reading %d took %v, want 3 calls of 110 ms", number, took)
			}
			if period := took + reader.Interval(); number > 0 && (period < testInterval*7/4 || period > testInterval*2) {
				test.Errorf("reading %d begins %v after the one before", number+1, period)
			}
		}
	})
}

// Guards against calls that gain nothing: a list that is read fast, or has one page, is read
// whole.
func TestFastOrShortListIsReadWhole(test *testing.T) {
	for _, sort := range []struct {
		backends, calls int
		callTime        time.Duration
	}{{1080, 22, 2 * time.Millisecond}, {270, 6, 70 * time.Millisecond}, {36, 1, time.Second}} {
		synctest.Test(test, func(test *testing.T) {
			list := newZonedList(sort.backends, 9, sort.callTime)
			reader := list.reader(9)
			for range 4 {
				readOnce(reader)
			}
			if list.calls != 4*sort.calls {
				test.Errorf("%d backends, %v a call: %d calls for 4 readings", sort.backends, sort.callTime, list.calls)
			}
		})
	}
}

// Guards against drains told late: that a backend leaves counted only when the list was
// read to its end, never if a later page failed.
func TestLeavingCountsBeforeTheListIsRead(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		list := newZonedList(120, 1, time.Millisecond)
		reader := list.reader(1)
		readOnce(reader)
		list.backends[10].Leaving = true
		list.fails = func(request PageRequest) Page {
			if request.Token != "" {
				return Page{Err: errors.New("unavailable")}
			}
			return Page{}
		}
		readOnce(reader)
		if backend, _ := has(reader, "backend-0010"); !backend.Leaving {
			test.Error("a backend that leaves on the first page is not known to")
		}
	})
}

// Guards against backends lost, or kept for ever, by reading zone by zone: a zone whose list
// is put off or fails loses nothing and holds up no other; a backend that a zone's list
// lacks twice is gone; the list is complete only when each zone was read.
func TestZonesAreReadApart(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		list := newZonedList(1080, 9, 110*time.Millisecond)
		reader := list.reader(9)
		refused := Page{Err: errors.New("unavailable")}
		list.fails = func(request PageRequest) Page {
			if request.Zone == "zone-3" {
				return refused
			}
			return Page{}
		}
		readOnce(reader)
		if backends, isComplete := reader.Backends(); isComplete || len(backends) != 960 {
			test.Errorf("%d backends, complete %v, while a zone was not read", len(backends), isComplete)
		}
		list.fails = func(PageRequest) Page { return Page{} }
		readOnce(reader)
		if backends, isComplete := reader.Backends(); !isComplete || len(backends) != 1080 {
			test.Fatalf("%d backends, complete %v", len(backends), isComplete)
		}
		list.backends = list.backends[:1072] // without one of each zone but the last
		putOff := Page{Err: errors.New("over the rate"), RetryAfter: 2 * time.Second}
		offUntil := time.Now().Add(2 * time.Second)
		list.fails = func(request PageRequest) Page {
			if request.Zone == "zone-3" && time.Now().Before(offUntil) {
				return putOff
			}
			if request.Zone == "zone-5" {
				return refused
			}
			return Page{}
		}
		list.backends[0].Leaving = true // of zone-0
		group := concurrent.NewGroup()
		group.Start(func() { readOnce(reader); readOnce(reader) })
		time.Sleep(time.Second)
		if backend, _ := has(reader, "backend-0000"); !backend.Leaving {
			test.Error("a backend that leaves is not told while another zone is put off")
		}
		group.Wait()
		for index := 1072; index < 1080; index++ {
			name, zone := fmt.Sprintf("backend-%04d", index), index%9
			if _, found := has(reader, name); found != (zone == 5) {
				test.Errorf("%s of zone %d: known %v after two lists lack it, its zone read %v", name, zone, found, zone != 5)
			}
		}
	})
}
