package message

import "orchidjunction/rpc"

// MaxRolloutTermMs is the longest term of a roll-out, in milliseconds: a week.
const MaxRolloutTermMs = 7 * 24 * 3600 * 1000

// maxVersionName is the longest name of a service or of a version of it, in bytes.
const maxVersionName = 200

// RolloutPhase is where the roll-out of a version stands.
type RolloutPhase uint8

// The phases. Only RolloutActive changes by itself; the others are final for a roll-out.
const (
	RolloutActive RolloutPhase = iota + 1
	RolloutComplete
	RolloutReverted
)

// String returns the phase in a word.
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

// Rollout is the shift of one service's requests to the backends of a version, as the
// leader decided it. ID identifies the order: a later roll-out of the same service has a
// higher one. Share is the part of the service's requests, from 0 to 1, that each proxy
// sends to the version while the roll-out is active; Step counts the shares so far. Exclusive
// says that the former version gets nothing any more, not even retries: it is about to end.
type Rollout struct {
	Service string
	Target  string
	ID      uint64
	Phase   RolloutPhase
	Step    int
	Share   float64

	Exclusive bool
}

// RolloutOrder asks for the roll-out of a version, or with Abort for the end of the one
// under way. TermMs is within how many milliseconds it is to be complete. ExpectedID is the
// ID of the service's newest roll-out as an earlier response said: the leader does not carry
// out an order that was under way for so long that the service had another roll-out since.
// With QueryOnly nothing changes and only that ID is returned.
type RolloutOrder struct {
	Service    string
	Target     string
	TermMs     int64
	Abort      bool
	QueryOnly  bool
	ExpectedID uint64
}

// Check refuses an order without a service or, unless it is a query or an abort, without a
// target and a term.
func (order *RolloutOrder) Check() error {
	if order.Service == "" || len(order.Service) > maxVersionName {
		return rpc.Errorf(rpc.BadMessage, "roll-out: service of %d letters", len(order.Service))
	}
	if order.QueryOnly || order.Abort {
		return nil
	}
	if order.Target == "" || len(order.Target) > maxVersionName || order.TermMs <= 0 {
		return rpc.Errorf(rpc.BadMessage, "roll-out: target of %d letters within %d ms", len(order.Target), order.TermMs)
	}
	if order.TermMs > MaxRolloutTermMs {
		return rpc.Errorf(rpc.BadMessage, "roll-out: term of %d ms, at most %d", order.TermMs, MaxRolloutTermMs)
	}
	return nil
}

// RolloutOrderResponse is the serial of the roll-outs' register, and the ID of the service's
// newest roll-out, 0 if it had none. Duplicate is true if the order had been taken before.
type RolloutOrderResponse struct {
	Serial    uint64
	ID        uint64
	Duplicate bool
}

// RolloutReadRequest asks the leader for the newest roll-out of a service.
type RolloutReadRequest struct {
	Service string
}

// Check refuses a service's name of the wrong length.
func (request *RolloutReadRequest) Check() error {
	if request.Service == "" || len(request.Service) > maxVersionName {
		return rpc.Errorf(rpc.BadMessage, "roll-out: service of %d letters", len(request.Service))
	}
	return nil
}

// RolloutReadResponse is the confirmed newest roll-out of a service, and what the proxies
// counted for it in all.
type RolloutReadResponse struct {
	Rollout Rollout
	Counts  RolloutCounts
}

// RolloutCounts is what one process of a proxy counted for one roll-out during one step. The
// counts only rise, and a process has counts of a step as soon as that is in force there.
// Requests are those sent to backends of the version under test, Items the scored ones of
// their responses, Exceedances those whose score was in the tail of the reference, and
// Failures those that failed. FormerRequests, FormerItems and FormerFailures are the same for
// backends of other versions of the service, while the step was in force. FormerInFlight is
// how many requests are at those backends now, the same in the counts of all steps.
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
