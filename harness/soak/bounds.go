package soak

import "time"

// Bounds are the time bounds that a deployment is given and judged by.
type Bounds struct {
	Contact     time.Duration // calm before a machine is bound by rules with a time bound
	Acknowledge time.Duration // until an order is acknowledged
	Apply       time.Duration // until an acknowledged configuration is in force
	Drain       time.Duration // until a backend that leaves gets no more requests
	Grace       time.Duration // from SIGTERM to SIGKILL
	LossSlack   time.Duration // in which a connection may end whose request was just sent
	Rollback    time.Duration // until a version gets nothing more after badAnswersToRevert bad answers
	CanaryShare float64       // of a service's requests that a bad version may get
	CanaryExtra int           // requests beside that share
}

// badAnswersToRevert is the number of bad answers after which a roll-back is due.
const badAnswersToRevert = 50

// DefaultBounds are those of a small deployment.
func DefaultBounds() Bounds {
	return Bounds{
		Contact:     4 * time.Second,
		Acknowledge: 5 * time.Second,
		Apply:       3 * time.Second,
		Drain:       3 * time.Second,
		Grace:       6 * time.Second,
		LossSlack:   200 * time.Millisecond,
		Rollback:    5 * time.Second,
		CanaryShare: 0.1,
		CanaryExtra: 50,
	}
}
