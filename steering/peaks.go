package steering

import (
	"sync"

	"orchidjunction/message"
)

// Peaks remembers the most proxies that were ready in each zone since the process began.
// Its zero value is ready for use, also concurrently.
type Peaks struct {
	mutex sync.Mutex
	zones map[string]int
}

// missing returns by zone how many proxies fewer than at the peak are there.
func (peaks *Peaks) missing(members []message.Member) map[string]int {
	ready := map[string]int{}
	for _, member := range members {
		ready[member.Zone]++
	}
	peaks.mutex.Lock()
	defer peaks.mutex.Unlock()
	if peaks.zones == nil {
		peaks.zones = map[string]int{}
	}
	for zone, count := range ready {
		peaks.zones[zone] = max(peaks.zones[zone], count)
	}
	missing := map[string]int{}
	for zone, count := range peaks.zones {
		missing[zone] = count - ready[zone]
	}
	return missing
}
