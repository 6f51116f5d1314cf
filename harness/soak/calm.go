package soak

import (
	"sync"
	"time"
)

// disturbance is a span in which something was done to a machine. Planned ones are those
// by SIGTERM and the start that follows it.
type disturbance struct {
	machine    string
	isCore     bool
	isPlanned  bool
	begin, end time.Time // end is zero while it lasts
}

// calm records disturbances and says which machines were in touch at a time. It is safe for
// concurrent use.
type calm struct {
	mutex   sync.Mutex
	contact time.Duration
	spans   []*disturbance
}

// begin records a disturbance that lasts until the returned function is called.
func (calm *calm) begin(machine string, isCore, isPlanned bool) (end func()) {
	span := &disturbance{machine: machine, isCore: isCore, isPlanned: isPlanned, begin: time.Now()}
	calm.mutex.Lock()
	calm.spans = append(calm.spans, span)
	calm.mutex.Unlock()
	return func() {
		calm.mutex.Lock()
		span.end = time.Now()
		calm.mutex.Unlock()
	}
}

// record records a disturbance that is over.
func (calm *calm) record(span disturbance) {
	calm.mutex.Lock()
	calm.spans = append(calm.spans, &span)
	calm.mutex.Unlock()
}

// overlaps reports whether a disturbance that a filter takes overlaps a span of time.
func (calm *calm) overlaps(from, to time.Time, takes func(*disturbance) bool) bool {
	calm.mutex.Lock()
	defer calm.mutex.Unlock()
	for _, span := range calm.spans {
		if span.begin.After(to) || !span.end.IsZero() && span.end.Before(from) {
			continue
		}
		if takes(span) {
			return true
		}
	}
	return false
}

// settled reports whether no core was disturbed from Contact before a span until its end.
func (calm *calm) settled(from, to time.Time) bool {
	return !calm.overlaps(from.Add(-calm.contact), to, func(span *disturbance) bool { return span.isCore })
}

// inTouch reports whether neither a machine nor a core was disturbed from Contact before a
// span until its end.
func (calm *calm) inTouch(machine string, from, to time.Time) bool {
	return !calm.overlaps(from.Add(-calm.contact), to, func(span *disturbance) bool {
		return span.isCore || span.machine == machine || span.machine == ""
	})
}

// unplanned reports whether anything unplanned happened from Contact before a span until
// its end.
func (calm *calm) unplanned(from, to time.Time) bool {
	return calm.overlaps(from.Add(-calm.contact), to, func(span *disturbance) bool { return !span.isPlanned })
}

// planned reports whether a planned end of a machine overlaps a span.
func (calm *calm) planned(machine string, from, to time.Time) bool {
	return calm.overlaps(from, to, func(span *disturbance) bool { return span.isPlanned && span.machine == machine })
}

const (
	stallInterval = 20 * time.Millisecond
	// maxStall is the longest pause of this process that counts as none. The machine is then
	// too busy for time bounds, so all machines count as slowed.
	maxStall = 150 * time.Millisecond
)

// watchStalls records the pauses of this process as disturbances of all machines.
func (calm *calm) watchStalls(done <-chan struct{}) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > maxStall {
			calm.record(disturbance{isCore: true, begin: last, end: now})
		}
		last = now
	}
}
