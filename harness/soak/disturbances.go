package soak

import (
	"sync"
	"time"
)

// disturbance is a span in which a fault or restart affected a machine. Planned ones are a
// SIGTERM and the restart after it.
type disturbance struct {
	machine    string // empty for all machines
	isCore     bool
	isPlanned  bool
	begin, end time.Time // end is zero while it lasts
}

// disturbances is a log of disturbances, safe for concurrent use.
type disturbances struct {
	mutex      sync.Mutex
	settleTime time.Duration // Bounds.Contact
	spans      []*disturbance
}

// begin records a disturbance that lasts until end is called.
func (disturbances *disturbances) begin(machine string, isCore, isPlanned bool) (end func()) {
	span := &disturbance{machine: machine, isCore: isCore, isPlanned: isPlanned, begin: time.Now()}
	disturbances.mutex.Lock()
	disturbances.spans = append(disturbances.spans, span)
	disturbances.mutex.Unlock()
	return func() {
		disturbances.mutex.Lock()
		span.end = time.Now()
		disturbances.mutex.Unlock()
	}
}

func (disturbances *disturbances) record(span disturbance) {
	disturbances.mutex.Lock()
	disturbances.spans = append(disturbances.spans, &span)
	disturbances.mutex.Unlock()
}

func (disturbances *disturbances) anyOverlap(from, to time.Time, matches func(*disturbance) bool) bool {
	disturbances.mutex.Lock()
	defer disturbances.mutex.Unlock()
	for _, span := range disturbances.spans {
		if span.begin.After(to) || !span.end.IsZero() && span.end.Before(from) {
			continue
		}
		if matches(span) {
			return true
		}
	}
	return false
}

// coresUndisturbed reports whether no core was disturbed in a span and settleTime before it.
func (disturbances *disturbances) coresUndisturbed(from, to time.Time) bool {
	return !disturbances.anyOverlap(from.Add(-disturbances.settleTime), to, func(span *disturbance) bool { return span.isCore })
}

// undisturbed reports whether neither a machine nor a core was disturbed in a span and
// settleTime before it.
func (disturbances *disturbances) undisturbed(machine string, from, to time.Time) bool {
	return !disturbances.anyOverlap(from.Add(-disturbances.settleTime), to, func(span *disturbance) bool {
		return span.isCore || span.machine == machine || span.machine == ""
	})
}

// anyUnplanned reports an unplanned disturbance in a span or settleTime before it.
func (disturbances *disturbances) anyUnplanned(from, to time.Time) bool {
	return disturbances.anyOverlap(from.Add(-disturbances.settleTime), to, func(span *disturbance) bool { return !span.isPlanned })
}

// stoppedAsPlanned reports whether a planned stop of a machine overlaps a span.
func (disturbances *disturbances) stoppedAsPlanned(machine string, from, to time.Time) bool {
	return disturbances.anyOverlap(from, to, func(span *disturbance) bool { return span.isPlanned && span.machine == machine })
}

const (
	stallInterval = 20 * time.Millisecond
	// maxStall is the longest pause of this process that is ignored. After a longer one, which
	// shows a host too busy for time bounds, all machines count as disturbed.
	maxStall = 150 * time.Millisecond
)

// watchStalls records pauses of this process as disturbances of all machines.
func (disturbances *disturbances) watchStalls(done <-chan struct{}) {
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
			disturbances.record(disturbance{isCore: true, begin: last, end: now})
		}
		last = now
	}
}
