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
	// clockTrustTimeout is how long a core that starts waits for somebody who knows the time of day
	// before it relies on its own wall clock.
	clockTrustTimeout = 1500 * time.Millisecond
	// daemonClockWindow is how long it waits for more daemons after the first one.
	daemonClockWindow = 250 * time.Millisecond
)

// clockTrust is whether a core that started may rely on what its wall clock said. Wall
// clocks may be off on all machines while all cores start at once; then the daemons that
// ran on know the time of day, and else a leader does. It is safe for concurrent use.
type clockTrust struct {
	mutex         sync.Mutex
	startedAt     time.Time
	isTrusted     bool
	firstSampleAt time.Time        // when the first daemon sent its time
	offsets       map[string]int64 // of the daemons' clocks, by names
}

func newClockTrust() clockTrust {
	return clockTrust{startedAt: time.Now(), offsets: map[string]int64{}}
}

// clockTrusted reports whether this core relies on its clock, and decides on that if it is
// time to.
func (core *Core) clockTrusted() bool {
	trust := &core.clockTrust
	trust.mutex.Lock()
	defer trust.mutex.Unlock()
	switch {
	case trust.isTrusted:
	case !trust.firstSampleAt.IsZero() && time.Since(trust.firstSampleAt) >= daemonClockWindow:
		core.trustClock(clock.Median(slices.Collect(maps.Values(trust.offsets)), 0), "daemons that ran on")
	case time.Since(trust.startedAt) >= clockTrustTimeout:
		core.trustClock(0, "")
	}
	return trust.isTrusted
}

// observeDaemonClock takes the time of a daemon that holds a leader's table, while this core
// does not trust its clock: that daemon ran before. What a message carries is late by the
// message's way, so the latest of a daemon counts.
func (core *Core) observeDaemonClock(session *message.Session) {
	if session.NowMs == 0 || session.Table.Term.Number == 0 || core.clockTrusted() {
		return
	}
	offset := session.NowMs - core.clock.Anchored()
	trust := &core.clockTrust
	trust.mutex.Lock()
	defer trust.mutex.Unlock()
	known, isKnown := trust.offsets[session.Member.Name]
	if !isKnown || offset > known {
		trust.offsets[session.Member.Name] = offset
	}
	if trust.firstSampleAt.IsZero() {
		trust.firstSampleAt = time.Now()
	}
}

// observeLeaderClock takes the time of day from a leader's heartbeat.
func (core *Core) observeLeaderClock(nowMs int64) {
	if !core.clockTrusted() {
		trust := &core.clockTrust
		trust.mutex.Lock()
		core.trustClock(nowMs-core.clock.Anchored(), "the leader")
		trust.mutex.Unlock()
	}
	core.clock.AddOneWay(nowMs)
}

// trustClock relies on the clock from now on, corrected by an offset in milliseconds. The
// caller holds the mutex of the trust.
func (core *Core) trustClock(offset int64, source string) {
	core.clockTrust.isTrusted = true
	if !core.clock.Reanchor(offset) {
		return
	}
	core.counters.Add("clocks_corrected", 1)
	klog.Warningf("core: the wall clock was off by %d ms at the start, by the clocks of %s", -offset, source)
}
