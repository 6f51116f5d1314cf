package control

import (
	"orchidjunction/wire"
)

// survey is the duty of a core that restarted: until a leader is heard of it asks
// the others what they accepted. What a majority accepted under one ballot is
// committed, and daemons may have it before anybody leads.
func (core *Core) survey() {
	for core.cold() && !core.threads.Stopping() {
		if core.members().votes() && !core.voter.Blank() && core.surveyed() {
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
	view := core.members()
	told := askPeers(core, view, func(peer Peer) (*wire.RestoreTold, error) {
		return wire.Ask[wire.Restore, wire.RestoreTold](core.line, peer.Address, "restore", core.roundLimit(), &wire.Restore{Core: view.ID, Members: view.Mark})
	}, same, view.decides)
	for _, answer := range told {
		core.learnMembers(answer.Members)
	}
	if !view.decides(agreed(told, same)) || !core.members().same(view) {
		return false
	}
	core.counts.Add("surveys_proved", 1)
	core.commit(wire.RoutingRegister, accepted, own.Texts)
	return true
}
