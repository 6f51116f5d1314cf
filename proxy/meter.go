package proxy

import (
	"maps"
	"sort"
	"sync"
	"time"

	"orchidjunction/wire"
)

const meterWindows = 7

// Meter counts the requests that began at backends, by window of true time and tenant.
type Meter struct {
	window time.Duration
	now    func() int64

	mutex   sync.Mutex
	windows map[int64]map[string]uint64
}

func newMeter(window time.Duration, now func() int64) *Meter {
	return &Meter{window: window, now: now, windows: map[int64]map[string]uint64{}}
}

func (meter *Meter) count(tenant string, ago time.Duration) {
	if tenant == "" || meter.window <= 0 {
		return
	}
	number := (meter.now() - ago.Milliseconds()) / meter.window.Milliseconds()
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	counts := meter.windows[number]
	if counts == nil {
		counts = map[string]uint64{}
		meter.windows[number] = counts
		for old := range meter.windows {
			if old <= number-meterWindows {
				delete(meter.windows, old)
			}
		}
	}
	counts[tenant]++
}

// Windows are the running counts of the last windows.
func (meter *Meter) Windows() []wire.WindowCount {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	all := make([]wire.WindowCount, 0, len(meter.windows))
	for number, counts := range meter.windows {
		all = append(all, wire.WindowCount{Window: number, Tenants: maps.Clone(counts)})
	}
	sort.Slice(all, func(left, right int) bool { return all[left].Window < all[right].Window })
	return all
}
