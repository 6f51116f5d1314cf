package control

import (
	"orchidjunction/metrics"
	"sync"

	"k8s.io/klog/v2"
)

// Standing is the state a core is in.
type Standing string

const (
	Blank        Standing = "blank"
	Learner      Standing = "learner"
	Following    Standing = "following"
	Prechecking  Standing = "prechecking"
	Revoking     Standing = "revoking"
	Establishing Standing = "establishing"
	Leading      Standing = "leading"
	Lameduck     Standing = "lameduck"
	Retired      Standing = "retired"
)

var standingChart = map[Standing][]Standing{
	Blank:        {Learner, Following, Revoking, Retired},
	Learner:      {Following, Blank, Retired},
	Following:    {Learner, Prechecking, Revoking, Establishing, Retired},
	Prechecking:  {Following, Revoking, Retired},
	Revoking:     {Following, Establishing, Retired},
	Establishing: {Following, Leading, Retired},
	Leading:      {Following, Lameduck, Retired},
	Lameduck:     {Retired},
	Retired:      {},
}

// Chart holds the standing and refuses moves that the chart lacks.
type Chart struct {
	mutex    sync.Mutex
	now      Standing
	counters *metrics.Counters
	core     int
}

func (chart *Chart) Now() Standing {
	chart.mutex.Lock()
	defer chart.mutex.Unlock()
	return chart.now
}

// name sets the core's number, once it is known.
func (chart *Chart) name(core int) {
	chart.mutex.Lock()
	chart.core = core
	chart.mutex.Unlock()
}

func (chart *Chart) move(to Standing) bool {
	chart.mutex.Lock()
	defer chart.mutex.Unlock()
	if chart.now == to {
		return true
	}
	for _, next := range standingChart[chart.now] {
		if next == to {
			klog.Infof("core %d: %s -> %s", chart.core, chart.now, to)
			chart.counters.Add("standing_"+string(to), 1)
			chart.now = to
			return true
		}
	}
	return false
}
