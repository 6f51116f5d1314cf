package control

import (
	"orchidjunction/wire"
)

// survey is the duty of a core that restarted: until a leader is heard of it asks
// the others what they accepted. What a majority accepted under one ballot is
// committed, and daemons may have it before anybody leads.
func (core *Core) survey() {
	for core.cold() && !core.threads.Stopping() {
		if core.roster().ID > 0 && !core.voter.Blank() && core.surveyed() {
			return
		}
		if !core.threads.Rest(core.place.Beat) {
			return
		}
	}
}

func (core *Core) surveyed() bool {
	own := core.voter.State()
	accepted := own.Accepted[wire.RoutingRegister]
	if accepted.Value.Serial == 0 {
		return false
	}
	same := func(told *wire.RestoreTold) bool {
		return told.Founded && told.Marks[wire.RoutingRegister] == accepted.Mark()
	}
	need := core.roster().majority()
	told := askPeers(core, func(peer Peer) (*wire.RestoreTold, error) {
		return wire.Ask[wire.Restore, wire.RestoreTold](core.line, peer.Address, "restore", core.roundLimit(), &wire.Restore{Core: core.roster().ID})
	}, same, need-1)
	count := 1
	for _, answer := range told {
		if same(answer) {
			count++
		}
	}
	if count < need {
		return false
	}
	core.counts.Add("surveys_proved", 1)
	core.commit(wire.RoutingRegister, accepted, own.Texts)
	return true
}
