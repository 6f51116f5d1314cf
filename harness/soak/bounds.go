package soak

import "time"

// Bounds are the bounds that the deployment's settings carry and the rules check.
type Bounds struct {
	Contact     time.Duration // from the last disturbance of a machine until timed rules apply to it
	Acknowledge time.Duration // until an order is acknowledged
	Apply       time.Duration // until an acknowledged configuration is in force
	Drain       time.Duration // until a leaving backend gets no more requests
	Grace       time.Duration // from SIGTERM to SIGKILL
	LossSlack   time.Duration // after a request was sent, in which its connection may end
	Rollback    time.Duration // until a version gets no more requests after failuresToRevert failures
	CanaryShare float64       // of a service's requests that a bad version may get
	CanaryExtra int           // requests beyond that share
}

// failuresToRevert is the number of failed responses after which a rollback is due.
const failuresToRevert = 50

// DefaultBounds returns the bounds of a small deployment.
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
