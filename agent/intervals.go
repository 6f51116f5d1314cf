package agent

import "time"

// minPauseThreshold is the lower bound of pauseThreshold.
const minPauseThreshold = 2 * time.Second

// Intervals are the periods of a daemon's recurring tasks; call time-outs are derived from
// them. Zero selects the default. With a negative UsageCount, counts are sent only with the
// session heartbeats.
type Intervals struct {
	Session        time.Duration // between session heartbeats
	Watch          time.Duration // maximum duration of a watch request
	FindLeader     time.Duration // initial pause between leader searches
	PauseCheck     time.Duration // between checks for a pause of this process
	PartitionCheck time.Duration // between checks for a network partition
	UsageCount     time.Duration // between usage reports to the leader
}

var defaultIntervals = Intervals{
	Session:        200 * time.Millisecond,
	Watch:          800 * time.Millisecond,
	FindLeader:     20 * time.Millisecond,
	PauseCheck:     200 * time.Millisecond,
	PartitionCheck: 250 * time.Millisecond,
	UsageCount:     50 * time.Millisecond,
}

// withDefaults returns the intervals with zero values replaced by defaults.
func (intervals Intervals) withDefaults() Intervals {
	for value, defaultValue := range map[*time.Duration]time.Duration{
		&intervals.Session:        defaultIntervals.Session,
		&intervals.Watch:          defaultIntervals.Watch,
		&intervals.FindLeader:     defaultIntervals.FindLeader,
		&intervals.PauseCheck:     defaultIntervals.PauseCheck,
		&intervals.PartitionCheck: defaultIntervals.PartitionCheck,
		&intervals.UsageCount:     defaultIntervals.UsageCount,
	} {
		if *value == 0 {
			*value = defaultValue
		}
	}
	return intervals
}

// callTimeout applies to calls with short responses, findTimeout to leader queries, and
// fetchTimeout to calls with long responses.
func (intervals Intervals) callTimeout() time.Duration  { return 2 * intervals.Session }
func (intervals Intervals) findTimeout() time.Duration  { return intervals.FindLeader * 15 / 2 }
func (intervals Intervals) fetchTimeout() time.Duration { return 5 * intervals.callTimeout() }

// pauseThreshold is the gap between two pause checks above which the process counts as
// having been paused.
func (intervals Intervals) pauseThreshold() time.Duration {
	return max(minPauseThreshold, 4*intervals.PauseCheck)
}
