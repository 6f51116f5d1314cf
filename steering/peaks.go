package steering

import (
	"sync"

	"orchidjunction/message"
)

// Peaks holds the maximum number of ready proxies of each zone since the start of the process.
// Its zero value is ready for concurrent use.
type Peaks struct {
	mutex sync.Mutex
	zones map[string]int
}

// missing updates the peaks and returns by how many proxies each zone is below its peak.
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
