package wire

import "net/netip"

// Peer is one core machine.
type Peer struct {
	ID      int
	Address string
}

func (peer Peer) check() *Mishap {
	if _, fault := netip.ParseAddrPort(peer.Address); fault != nil {
		return New(BadMessage, "peer at %q: %v", peer.Address, fault)
	}
	return checkCore(peer.ID)
}

// Enlist registers a core that has no roster with another one. Opening is
// whether its disk has been there since the system's first start.
type Enlist struct {
	Address string
	Opening bool
}

// EnlistTold brings the roster, once one is known, and the leader.
type EnlistTold struct {
	Roster []Peer
	Leader Leader
}

func (message *Enlist) Check() *Mishap {
	return Peer{ID: 1, Address: message.Address}.check()
}

func (message *EnlistTold) Check() *Mishap {
	for _, peer := range message.Roster {
		if mishap := peer.check(); mishap != nil {
			return mishap
		}
	}
	return nil
}
