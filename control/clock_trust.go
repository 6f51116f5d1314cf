package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/clock"
	"orchidjunction/message"
)

const (
	// clockTrustTimeout is how long a core waits after its start for the time from a daemon or
	// a leader before it relies on its own wall clock.
	clockTrustTimeout = 1500 * time.Millisecond
	// daemonClockWindow is how long samples of more daemon clocks are collected after the
	// first.
	daemonClockWindow = 250 * time.Millisecond
)

// clockTrust decides whether a core may rely on the wall clock that it read at its start. Wall
// clocks may be wrong on all machines when all cores start at once. Daemons that kept running
// then know the time of day, and otherwise a leader does. It is safe for concurrent use.
type clockTrust struct {
	mutex         sync.Mutex
	startedAt     time.Time
	isTrusted     bool
	firstSampleAt time.Time        // when the first daemon sent its time
	offsets       map[string]int64 // of the daemons' clocks, by daemon name
}

func newClockTrust() clockTrust {
	return clockTrust{startedAt: time.Now(), offsets: map[string]int64{}}
}

// clockTrusted decides whether this core relies on its clock yet.
func (core *Core) clockTrusted() bool {
	trust := &core.clockTrust
	trust.mutex.Lock()
	defer trust.mutex.Unlock()
	switch {
	case trust.isTrusted:
	case !trust.firstSampleAt.IsZero() && time.Since(trust.firstSampleAt) >= daemonClockWindow:
		core.trustClock(clock.Median(slices.Collect(maps.Values(trust.offsets)), 0), "running daemons")
	case time.Since(trust.startedAt) >= clockTrustTimeout:
		core.trustClock(0, "")
	}
	return trust.isTrusted
}

// observeDaemonClock samples the clock of a daemon while this core does not trust its own.
// Only a daemon that holds a leader's table counts, since it ran before. A sample is late by
// the delay of its message, so the latest time of each daemon is used.
func (core *Core) observeDaemonClock(session *message.Session) {
	if session.NowMs == 0 || session.Table.Term.Number == 0 || core.clockTrusted() {
		return
	}
	offset := session.NowMs - core.clock.Anchored()
	trust := &core.clockTrust
	trust.mutex.Lock()
	defer trust.mutex.Unlock()
	latest, found := trust.offsets[session.Member.Name]
	if !found || offset > latest {
		trust.offsets[session.Member.Name] = offset
	}
	if trust.firstSampleAt.IsZero() {
		trust.firstSampleAt = time.Now()
	}
}

// observeLeaderClock applies the time of day from a leader's heartbeat.
func (core *Core) observeLeaderClock(nowMs int64) {
	if !core.clockTrusted() {
		trust := &core.clockTrust
		trust.mutex.Lock()
		core.trustClock(nowMs-core.clock.Anchored(), "the leader")
		trust.mutex.Unlock()
	}
	core.clock.AddOneWay(nowMs)
}

// trustClock makes this core rely on its clock, corrected by an offset in milliseconds. The
// caller holds clockTrust.mutex.
func (core *Core) trustClock(offset int64, source string) {
	core.clockTrust.isTrusted = true
	if !core.clock.Reanchor(offset) {
		return
	}
	core.counters.Add("clocks_corrected", 1)
	klog.Warningf("core: the wall clock was off by %d ms at the start, according to %s", -offset, source)
}
