package capacity

import (
	"runtime"
	"time"
)

// Point is one size at which a deployment is measured. Seconds is the length of
// each phase; Active the tenants that a daemon counts in a window; SlowUs processor
// time, in microseconds, that a core wastes on each session, so that a run can be
// seen to notice it.
type Point struct {
	Cores    int
	Daemons  int
	Backends int
	Routes   int
	Services int
	Tenants  int
	Active   int
	Apply    string
	Seconds  float64
	Changes  int
	SlowUs   int
}

// Spread is the milliseconds until a change was in force at half, at 99 in 100 and
// at all of the daemons.
type Spread struct {
	Half float64
	Most float64
	All  float64
}

// Result is what was measured at a point.
type Result struct {
	Point      Point
	AtMs       int64
	LoadBefore float64
	StartMs    float64
	ConfigKB   float64
	Steady     map[string]Rates
	Changing   map[string]Rates
	Changes    []Spread
	ReadyMs    float64
	Restarted  int
	Restarting map[string]Rates
	KilledMs   float64
	Killed     Spread
	Failed     []string
}

const (
	leaderRole           = "leader"
	followerRole         = "follower"
	daemonRole           = "daemon"
	maxDaemonsPerProcess = 768
	portStep             = 10
	seedMost             = 3
	pageItems            = 1000

	settleQuiet = 4 * time.Second
	settleMost  = 30 * time.Second
)

// Processors returns the number of cores of this machine; a run uses about four of
// them.
func Processors() int { return runtime.NumCPU() }
