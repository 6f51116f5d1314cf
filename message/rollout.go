package message

import "orchidjunction/rpc"

// MaxRolloutTermMs is the maximum term of a rollout, one week in milliseconds.
const MaxRolloutTermMs = 7 * 24 * 3600 * 1000

// maxVersionName is the maximum length of the name of a service or version in bytes.
const maxVersionName = 200

// RolloutPhase is the phase of a rollout.
type RolloutPhase uint8

// The phases. RolloutComplete and RolloutReverted are final.
const (
	RolloutActive RolloutPhase = iota + 1
	RolloutComplete
	RolloutReverted
)

// String returns the name of the phase.
func (phase RolloutPhase) String() string {
	switch phase {
	case RolloutActive:
		return "active"
	case RolloutComplete:
		return "complete"
	case RolloutReverted:
		return "reverted"
	}
	return "unknown"
}

// Rollout is the shift of a service's requests to the backends of a version, as decided by the
// leader. ID identifies the order; later rollouts of the same service have higher IDs. Share is
// the fraction of the service's requests, from 0 to 1, that each proxy sends to the version while
// the rollout is active. Step counts the shares so far. Exclusive says that the former version,
// which is about to shut down, receives no more requests, not even retries.
type Rollout struct {
	Service string
	Target  string
	ID      uint64
	Phase   RolloutPhase
	Step    int
	Share   float64

	Exclusive bool
}

// RolloutOrder starts the rollout of a version or, with Abort, aborts the current one. The
// rollout must complete within TermMs milliseconds. ExpectedID is the ID of the service's newest
// rollout from an earlier response: the leader rejects a delayed order if the service has had
// another rollout since. With QueryOnly nothing changes and only the ID is returned.
type RolloutOrder struct {
	Service    string
	Target     string
	TermMs     int64
	Abort      bool
	QueryOnly  bool
	ExpectedID uint64
}

// Check rejects an order without a valid service or, unless it is a query or an abort, without a
// valid target and term.
func (order *RolloutOrder) Check() error {
	if order.Service == "" || len(order.Service) > maxVersionName {
		return rpc.Errorf(rpc.BadMessage, "roll-out: service name of %d bytes", len(order.Service))
	}
	if order.QueryOnly || order.Abort {
		return nil
	}
	if order.Target == "" || len(order.Target) > maxVersionName || order.TermMs <= 0 {
		return rpc.Errorf(rpc.BadMessage, "roll-out: target name of %d bytes, term of %d ms", len(order.Target), order.TermMs)
	}
	if order.TermMs > MaxRolloutTermMs {
		return rpc.Errorf(rpc.BadMessage, "roll-out: term of %d ms, at most %d", order.TermMs, MaxRolloutTermMs)
	}
	return nil
}

// RolloutOrderResponse contains the serial of the rollouts register, and the ID of the service's
// newest rollout, 0 if there is none. Duplicate is true if the order was already accepted.
type RolloutOrderResponse struct {
	Serial    uint64
	ID        uint64
	Duplicate bool
}

// RolloutReadRequest asks the leader for the newest rollout of a service.
type RolloutReadRequest struct {
	Service string
}

// Check rejects an empty or overlong service name.
func (request *RolloutReadRequest) Check() error {
	if request.Service == "" || len(request.Service) > maxVersionName {
		return rpc.Errorf(rpc.BadMessage, "roll-out: service name of %d bytes", len(request.Service))
	}
	return nil
}

// RolloutReadResponse contains the confirmed newest rollout of a service and the total counts of
// all proxies.
type RolloutReadResponse struct {
	Rollout Rollout
	Counts  RolloutCounts
}

// RolloutCounts contains a proxy process's counts for one step of a rollout. Counts never
// decrease, and exist as soon as the step is in force in the process. Requests counts the
// requests sent to backends of the target version, Items their scored responses, Exceedances the
// scores in the tail of the reference, and Failures the failed requests. FormerRequests,
// FormerItems and FormerFailures are the same for backends of other versions of the service
// during the step. FormerInFlight is the current number of requests at those backends, which is
// the same in the counts of all steps.
type RolloutCounts struct {
	Service        string
	ID             uint64
	Step           int
	Requests       uint64
	Items          uint64
	Exceedances    uint64
	Failures       uint64
	FormerRequests uint64
	FormerItems    uint64
	FormerFailures uint64
	FormerInFlight int
}
