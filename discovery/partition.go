package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// allZones as the zone of a PageRequest stands for the whole list.
	allZones = ""
	// maxScanIntervals bounds a sequential scan of the whole list, in multiples of Interval.
	// A slower one is replaced by scans by zone, which cost more calls.
	maxScanIntervals = 0.8
	// latencyWeight is the weight of the newest call in the moving average of the latency.
	latencyWeight = 0.25
)

type pageStats struct {
	pageTime time.Duration // moving average of a call's duration
	pageSize int           // largest number of backends in a page
}

func (stats *pageStats) record(backends int, duration time.Duration) {
	stats.pageSize = max(stats.pageSize, backends)
	if stats.pageTime == 0 {
		stats.pageTime = duration
		return
	}
	stats.pageTime += time.Duration(latencyWeight * float64(duration-stats.pageTime))
}

// estimateScan estimates the duration of a sequential scan of so many backends. It is 0
// before the first page, and for a single page, which cannot be read faster by zone.
func (stats *pageStats) estimateScan(backends int) time.Duration {
	if backends <= stats.pageSize {
		return 0
	}
	pages := (backends + stats.pageSize - 1) / max(stats.pageSize, 1)
	return time.Duration(pages) * stats.pageTime
}

func (reader *Reader) recordPage(backends int, duration time.Duration) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.pageStats.record(backends, duration)
}

// zonesToScan returns allZones alone, or every zone if a scan of the whole list takes too
// long.
func (reader *Reader) zonesToScan() []string {
	if reader.isTooSlow(0) {
		return reader.zones()
	}
	return []string{allZones}
}

// isTooSlow reports whether the list can be read by zone and a scan of the whole list takes
// too long. The list has as many backends as listed or known, whichever is more.
func (reader *Reader) isTooSlow(listed int) bool {
	if len(reader.zones()) < 2 {
		return false
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.pageStats.estimateScan(max(listed, len(reader.backends))) > reader.maxScanTime()
}

func (reader *Reader) maxScanTime() time.Duration {
	return time.Duration(maxScanIntervals * float64(reader.options.Interval))
}

// pauseAfter returns the pause after a scan of some zones. Scans by zone start no more often
// than the slowest scans of the whole list, because calls are rate limited.
func (reader *Reader) pauseAfter(zones []string, duration time.Duration) time.Duration {
	if len(zones) > 1 {
		return reader.options.Interval + max(0, reader.maxScanTime()-duration)
	}
	return reader.options.Interval
}

// zones returns the platform's zones and those of known backends, sorted; none if the
// platform cannot list by zone.
func (reader *Reader) zones() []string {
	if reader.options.Zones == nil {
		return nil
	}
	names := map[string]bool{}
	for _, zone := range reader.options.Zones() {
		names[zone] = true
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	for _, backend := range reader.backends {
		names[backend.Zone] = true
	}
	delete(names, allZones)
	return slices.Sorted(maps.Keys(names))
}
