package message

// RolloutPhase is where the roll-out of a version stands.
type RolloutPhase uint8

// The phases. Only RolloutActive changes by itself; the others are final for a roll-out.
const (
	RolloutActive RolloutPhase = iota + 1
	RolloutComplete
	RolloutReverted
)

// Rollout is the shift of one service's requests to the backends of a version, as the
// leader decided it. ID identifies the order: a later roll-out of the same service has a
// higher one. Share is the part of the service's requests, from 0 to 1, that each proxy
// sends to the version while the roll-out is active; Step counts the shares so far.
type Rollout struct {
	Service string
	Target  string
	ID      uint64
	Phase   RolloutPhase
	Step    int
	Share   float64
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
