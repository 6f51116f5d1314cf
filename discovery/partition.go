package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// wholeList stands for all zones in a PageRequest.
	wholeList = ""
	// slowIntervals is how many intervals a reading of the whole list may take, page after
	// page. A longer list is read by zone, which costs more calls.
	slowIntervals = 0.8
	// paceWeight is the weight of the newest call in the mean time of a call.
	paceWeight = 0.25
)

// pace is how fast pages come.
type pace struct {
	pageTime time.Duration // mean time of a call for a page
	pageSize int           // the most backends that a page had
}

// observe takes the time of a call that returned so many backends.
func (pace *pace) observe(backends int, took time.Duration) {
	pace.pageSize = max(pace.pageSize, backends)
	if pace.pageTime == 0 {
		pace.pageTime = took
		return
	}
	pace.pageTime += time.Duration(paceWeight * float64(took-pace.pageTime))
}

// wholeTime is how long a whole list of so many backends takes. It is 0 while no page came
// yet, and for a list of a single page, which cannot be read faster.
func (pace *pace) wholeTime(backends int) time.Duration {
	if backends <= pace.pageSize {
		return 0
	}
	pages := (backends + pace.pageSize - 1) / max(pace.pageSize, 1)
	return time.Duration(pages) * pace.pageTime
}

// observePage notes the time of a call that returned so many backends.
func (reader *Reader) observePage(backends int, took time.Duration) {
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	reader.pace.observe(backends, took)
}

// partition returns the zones whose lists a reading asks for: one, of the whole list,
// unless that takes too long.
func (reader *Reader) partition() []string {
	if reader.isSlow(0) {
		return reader.zones()
	}
	return []string{wholeList}
}

// isSlow reports whether reading the whole list, of so many backends or of all that are
// known, takes too long and reading it by zone is possible.
func (reader *Reader) isSlow(listed int) bool {
	if len(reader.zones()) < 2 {
		return false
	}
	reader.mutex.Lock()
	defer reader.mutex.Unlock()
	return reader.pace.wholeTime(max(listed, len(reader.backends))) > reader.slowReading()
}

// slowReading is how long a reading of the whole list may take.
func (reader *Reader) slowReading() time.Duration {
	return time.Duration(slowIntervals * float64(reader.options.Interval))
}

// pauseAfter returns the pause after a reading of the lists of some zones. By zone, readings
// begin as often as the slowest ones of the whole list do: calls are scarce.
func (reader *Reader) pauseAfter(zones []string, took time.Duration) time.Duration {
	if len(zones) > 1 {
		return reader.options.Interval + max(0, reader.slowReading()-took)
	}
	return reader.options.Interval
}

// zones returns the zones of the platform and those of the backends known, sorted; none if
// the platform lists no zones.
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
	delete(names, wholeList)
	return slices.Sorted(maps.Keys(names))
}
