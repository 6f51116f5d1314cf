package hostproxy

import (
	"maps"
	"sort"
	"sync"
	"time"

	"orchidjunction/message"
)

const retainedWindows = 7

// usageMeter counts the requests that began at backends, by tenant and window of cluster time.
type usageMeter struct {
	window time.Duration
	now    func() int64

	mutex       sync.Mutex
	windows     map[int64]map[string]uint64
	overcounted map[string]uint64
	running     map[*startedRequest]bool
}

// startedRequest is a request that was sent and has no response yet.
type startedRequest struct {
	tenant  string
	atMs    int64
	counted bool
}

// assumedStartedMs is the time without a refusal after which a request counts as begun.
const assumedStartedMs = 20

func newUsageMeter(window time.Duration, now func() int64) *usageMeter {
	return &usageMeter{
		window:      window,
		now:         now,
		windows:     map[int64]map[string]uint64{},
		overcounted: map[string]uint64{},
		running:     map[*startedRequest]bool{},
	}
}

// begin registers a request that is sent now. It is counted before its response arrives;
// otherwise, requests in flight would be lost if the process crashed.
func (meter *usageMeter) begin(tenant string) *startedRequest {
	request := &startedRequest{tenant: tenant, atMs: meter.now()}
	if tenant != "" && meter.window > 0 {
		meter.mutex.Lock()
		meter.running[request] = true
		meter.mutex.Unlock()
	}
	return request
}

// finish ends a request. Counts never decrease: if a counted request did not run after all,
// the tenant's next one is not counted.
func (meter *usageMeter) finish(request *startedRequest, ran bool) {
	if request.tenant == "" || meter.window <= 0 {
		return
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	delete(meter.running, request)
	switch {
	case ran && !request.counted:
		meter.add(request.tenant, request.atMs)
	case !ran && request.counted:
		meter.overcounted[request.tenant]++
	}
}

func (meter *usageMeter) count(tenant string, ago time.Duration) {
	if tenant == "" || meter.window <= 0 {
		return
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.add(tenant, meter.now()-ago.Milliseconds())
}

func (meter *usageMeter) add(tenant string, atMs int64) {
	if meter.overcounted[tenant] > 0 {
		meter.overcounted[tenant]--
		return
	}
	number := atMs / meter.window.Milliseconds()
	counts := meter.windows[number]
	if counts == nil {
		counts = map[string]uint64{}
		meter.windows[number] = counts
		for other := range meter.windows {
			if other <= number-retainedWindows {
				delete(meter.windows, other)
			}
		}
	}
	counts[tenant]++
}

// Windows returns the cumulative counts of the retained windows.
func (meter *usageMeter) Windows() []message.WindowCount {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for request := range meter.running {
		if !request.counted && meter.now()-request.atMs >= assumedStartedMs {
			request.counted = true
			meter.add(request.tenant, request.atMs)
		}
	}
	all := make([]message.WindowCount, 0, len(meter.windows))
	for number, counts := range meter.windows {
		all = append(all, message.WindowCount{Window: number, Tenants: maps.Clone(counts)})
	}
	sort.Slice(all, func(left, right int) bool { return all[left].Window < all[right].Window })
	return all
}
