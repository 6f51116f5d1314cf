package agent

import "time"

// minPause is the shortest silence of a process's own pulse that means that it was paused.
const minPauseThreshold = 2 * time.Second

// Intervals are how often a daemon does what it does again and again; the time-outs of
// its calls follow from them. Zero stands for the default; a UsageCount below zero sends
// no counts apart from the sessions.
type Intervals struct {
	Session    time.Duration // between two heartbeats of the session
	Watch      time.Duration // for how long a core may hold a watch
	FindLeader time.Duration // between two searches for the leader
	Pulse      time.Duration // between two looks whether this process was paused
	CheckReach time.Duration // between two looks whether this daemon is cut off
	UsageCount time.Duration // between two usage counts for the leader
}

var defaultIntervals = Intervals{
	Session:    200 * time.Millisecond,
	Watch:      800 * time.Millisecond,
	FindLeader: 20 * time.Millisecond,
	Pulse:      200 * time.Millisecond,
	CheckReach: 250 * time.Millisecond,
	UsageCount: 50 * time.Millisecond,
}

// withDefaults returns the intervals with defaults in place of zero.
func (intervals Intervals) withDefaults() Intervals {
	for value, defaultValue := range map[*time.Duration]time.Duration{
		&intervals.Session:    defaultIntervals.Session,
		&intervals.Watch:      defaultIntervals.Watch,
		&intervals.FindLeader: defaultIntervals.FindLeader,
		&intervals.Pulse:      defaultIntervals.Pulse,
		&intervals.CheckReach: defaultIntervals.CheckReach,
		&intervals.UsageCount: defaultIntervals.UsageCount,
	} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	return intervals
}

// callTimeout is that of a call with a short response, findTimeout that of a search for
// the leader, and fetchTimeout that of a call with a long response.
func (intervals Intervals) callTimeout() time.Duration  { return 2 * intervals.Session }
func (intervals Intervals) findTimeout() time.Duration  { return intervals.FindLeader * 15 / 2 }
func (intervals Intervals) fetchTimeout() time.Duration { return 5 * intervals.callTimeout() }

// maxPause is the longest silence of the pulse that is no pause of the process.
func (intervals Intervals) pauseThreshold() time.Duration {
	return max(minPauseThreshold, 4*intervals.Pulse)
}
