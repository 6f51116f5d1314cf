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

// RolloutCounts is what one process of a proxy counted for one roll-out since its start.
// The counts only rise. Items are the scored responses of the version under test,
// Exceedances those whose score was in the tail of the reference, Failures those that
// failed. FormerInFlight is how many requests are at backends of other versions now.
type RolloutCounts struct {
	Service        string
	ID             uint64
	Step           int
	Items          uint64
	Exceedances    uint64
	Failures       uint64
	FormerInFlight int
}
