package control

import (
	"context"
	"net/netip"
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"
)

// Peer is another core machine.
type Peer = message.Peer

// Place is what a core learns of itself from flags or its file. A core without
// an ID finds the others through its seeds and keeps who they are on its disk.
type Place struct {
	ID       int
	Name     string
	Zone     string
	Wire     string
	Operate  string
	Peers    []Peer
	Seeds    []string
	Found    bool
	Least    int
	Quiet    time.Duration
	Platform string
	Beat     time.Duration
	Suspect  time.Duration
	Seed     uint64
	Observe  func(standing Standing, term message.Term)
	Wall     func() int64

	// MembersChanged is told the addresses of the voters whenever they change.
	MembersChanged func(version message.Version, addresses []string)
	// ReplaceAfter is how long a voter is silent before a learner takes its place.
	ReplaceAfter time.Duration

	Direct      bool
	Table       time.Duration
	SessionSpan time.Duration
	Lister      func(ctx context.Context, page string) Listing
	ListPace    time.Duration
	GoneAfter   int
	Metering    Metering
}

const (
	foundingQuiet = 700 * time.Millisecond
	sessionSpan   = 1500 * time.Millisecond
	writeLimit    = 600 * time.Millisecond
	replaceAfter  = time.Second
)

// filled has the defaults of what was left open.
func (place Place) filled() Place {
	if place.Wall == nil {
		place.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	if place.Observe == nil {
		place.Observe = func(Standing, message.Term) {}
	}
	if place.MembersChanged == nil {
		place.MembersChanged = func(message.Version, []string) {}
	}
	if place.ReplaceAfter == 0 {
		place.ReplaceAfter = max(replaceAfter, 2*place.Suspect)
	}
	if place.Quiet == 0 {
		place.Quiet = foundingQuiet
	}
	if place.Table == 0 {
		place.Table = place.Beat
	}
	if place.SessionSpan == 0 {
		place.SessionSpan = sessionSpan
	}
	if place.ListPace == 0 {
		place.ListPace = platformPace
	}
	if place.GoneAfter == 0 {
		place.GoneAfter = goneAfter
	}
	return place
}

// view is the membership that was accepted last, or else the one that was given. As
// long as no core was ever replaced, addresses are as they were given.
func (place *Place) view(accepted *Membership) *View {
	if place.enlists() {
		return viewOf(place.Wire, accepted)
	}
	given := givenMembership(append([]Peer{{ID: place.ID, Address: place.Wire}}, place.Peers...))
	if accepted != nil && accepted.Mark.Serial > given.Mark.Serial {
		return viewOf(place.Wire, accepted)
	}
	if accepted != nil {
		given.Mark = accepted.Mark
	}
	return viewOf(place.Wire, given)
}

// enlists is whether this core learns who the others are from its seeds.
func (place *Place) enlists() bool { return place.ID == 0 }

// firstTable is how long a leader that nobody can tell a table waits for the
// daemons' sessions before it makes the first one.
func (place *Place) firstTable() time.Duration {
	if place.Direct {
		return place.SessionSpan / 5
	}
	return place.SessionSpan
}

func (place *Place) writeLimit() time.Duration { return max(writeLimit, 2*place.Suspect) }

func (place *Place) Check() error {
	if place.Beat < 10*time.Millisecond || place.Suspect < 3*place.Beat {
		return rpc.Errorf(rpc.BadFlag, "--suspect-ms: %v must be at least three beats of %v, and a beat 10ms", place.Suspect, place.Beat)
	}
	if err := CheckAddress("--wire", place.Wire); err != nil {
		return err
	}
	if place.enlists() && len(place.Seeds) > 0 {
		return place.checkSeeds()
	}
	if place.ID < 1 || place.ID > 99 {
		return rpc.Errorf(rpc.BadFlag, "--id: %d is not in 1 to 99", place.ID)
	}
	seen := map[int]bool{place.ID: true}
	for _, peer := range place.Peers {
		if seen[peer.ID] {
			return rpc.Errorf(rpc.BadFlag, "--peer: id %d is there twice", peer.ID)
		}
		seen[peer.ID] = true
		if err := CheckAddress("--peer", peer.Address); err != nil {
			return err
		}
	}
	if len(place.Peers)%2 != 0 {
		return rpc.Errorf(rpc.BadFlag, "--peer: %d cores in all; want an odd count", len(place.Peers)+1)
	}
	return nil
}

func (place *Place) checkSeeds() error {
	if len(place.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--peer: goes with an id, not with seeds")
	}
	if place.Least < 1 || place.Least > foundersMost {
		return rpc.Errorf(rpc.BadFlag, "--least: %d is not in 1 to %d", place.Least, foundersMost)
	}
	for _, seed := range place.Seeds {
		if err := CheckAddress("--seed", seed); err != nil {
			return err
		}
	}
	return nil
}

func CheckAddress(flag, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return rpc.Errorf(rpc.BadFlag, "%s: %q is not IP:port", flag, address)
	}
	return nil
}
