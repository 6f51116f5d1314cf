package hostproxy

import (
	"maps"
	"sort"
	"sync"
	"time"

	"orchidjunction/message"
)

const keptWindows = 7

// UsageMeter counts the requests that began at backends, by window of true time and tenant.
type UsageMeter struct {
	window time.Duration
	now    func() int64

	mutex     sync.Mutex
	windows   map[int64]map[string]uint64
	unsettled map[string]uint64
	running   map[*startedRequest]bool
}

// startedRequest is a request that was sent and has no answer yet.
type startedRequest struct {
	tenant  string
	at      int64
	counted bool
}

// assumedRunningMs is after how long without a refusal a request counts as begun.
const assumedRunningMs = 20

func newUsageMeter(window time.Duration, now func() int64) *UsageMeter {
	return &UsageMeter{
		window:    window,
		now:       now,
		windows:   map[int64]map[string]uint64{},
		unsettled: map[string]uint64{},
		running:   map[*startedRequest]bool{},
	}
}

// begin takes a request that is sent now. It counts before its answer comes, or
// those under way would be lost with the process.
func (meter *UsageMeter) begin(tenant string) *startedRequest {
	begun := &startedRequest{tenant: tenant, at: meter.now()}
	if tenant != "" && meter.window > 0 {
		meter.mutex.Lock()
		meter.running[begun] = true
		meter.mutex.Unlock()
	}
	return begun
}

// finish ends it. Counts never fall: one that counted and had not begun after all
// stands for the tenant's next.
func (meter *UsageMeter) finish(begun *startedRequest, ran bool) {
	if begun.tenant == "" || meter.window <= 0 {
		return
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	delete(meter.running, begun)
	switch {
	case ran && !begun.counted:
		meter.add(begun.tenant, begun.at)
	case !ran && begun.counted:
		meter.unsettled[begun.tenant]++
	}
}

func (meter *UsageMeter) count(tenant string, ago time.Duration) {
	if tenant == "" || meter.window <= 0 {
		return
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.add(tenant, meter.now()-ago.Milliseconds())
}

func (meter *UsageMeter) add(tenant string, at int64) {
	if meter.unsettled[tenant] > 0 {
		meter.unsettled[tenant]--
		return
	}
	number := at / meter.window.Milliseconds()
	counts := meter.windows[number]
	if counts == nil {
		counts = map[string]uint64{}
		meter.windows[number] = counts
		for old := range meter.windows {
			if old <= number-keptWindows {
				delete(meter.windows, old)
			}
		}
	}
	counts[tenant]++
}

// Windows are the running counts of the last windows.
func (meter *UsageMeter) Windows() []message.WindowCount {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	for begun := range meter.running {
		if !begun.counted && meter.now()-begun.at >= assumedRunningMs {
			begun.counted = true
			meter.add(begun.tenant, begun.at)
		}
	}
	all := make([]message.WindowCount, 0, len(meter.windows))
	for number, counts := range meter.windows {
		all = append(all, message.WindowCount{Window: number, Tenants: maps.Clone(counts)})
	}
	sort.Slice(all, func(left, right int) bool { return all[left].Window < all[right].Window })
	return all
}
