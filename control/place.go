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

// Config is what a core learns of itself from flags or its file. A core without
// an ID finds the others through its seeds and keeps who they are on its disk.
type Config struct {
	ID                int
	Name              string
	Zone              string
	InternalAddress   string
	OperatorAddress   string
	Peers             []Peer
	Seeds             []string
	Bootstrap         bool
	MinFounders       int
	FoundingQuiet     time.Duration
	PlatformAddress   string
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
	Seed              uint64
	OnRole            func(standing Role, term message.Term)
	Wall              func() int64

	// OnMembershipChange is told the addresses of the voters whenever they change.
	OnMembershipChange func(version message.Version, addresses []string)
	// ReplaceAfter is how long a voter is silent before a learner takes its place.
	ReplaceAfter time.Duration

	DirectSessions bool
	TableInterval  time.Duration
	SessionTTL     time.Duration
	ListBackends   func(ctx context.Context, page string) Listing
	ListInterval   time.Duration
	ListsUntilGone int
	Metering       Metering
}

const (
	foundingQuiet   = 700 * time.Millisecond
	sessionTTL      = 1500 * time.Millisecond
	minWriteTimeout = 600 * time.Millisecond
	minReplaceAfter = time.Second
)

// withDefaults has the defaults of what was left open.
func (place Config) withDefaults() Config {
	if place.Wall == nil {
		place.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	if place.OnRole == nil {
		place.OnRole = func(Role, message.Term) {}
	}
	if place.OnMembershipChange == nil {
		place.OnMembershipChange = func(message.Version, []string) {}
	}
	if place.ReplaceAfter == 0 {
		place.ReplaceAfter = max(minReplaceAfter, 2*place.SuspicionTimeout)
	}
	if place.FoundingQuiet == 0 {
		place.FoundingQuiet = foundingQuiet
	}
	if place.TableInterval == 0 {
		place.TableInterval = place.HeartbeatInterval
	}
	if place.SessionTTL == 0 {
		place.SessionTTL = sessionTTL
	}
	if place.ListInterval == 0 {
		place.ListInterval = listInterval
	}
	if place.ListsUntilGone == 0 {
		place.ListsUntilGone = listsUntilGone
	}
	return place
}

// view is the membership that was accepted last, or else the one that was given. As
// long as no core was ever replaced, addresses are as they were given.
func (place *Config) view(accepted *Membership) *View {
	if place.discoversPeers() {
		return viewOf(place.InternalAddress, accepted)
	}
	given := givenMembership(append([]Peer{{ID: place.ID, Address: place.InternalAddress}}, place.Peers...))
	if accepted != nil && accepted.Version.Serial > given.Version.Serial {
		return viewOf(place.InternalAddress, accepted)
	}
	if accepted != nil {
		given.Version = accepted.Version
	}
	return viewOf(place.InternalAddress, given)
}

// discoversPeers is whether this core learns who the others are from its seeds.
func (place *Config) discoversPeers() bool { return place.ID == 0 }

// firstTableDelay is how long a leader that nobody can tell a table waits for the
// daemons' sessions before it makes the first one.
func (place *Config) firstTableDelay() time.Duration {
	if place.DirectSessions {
		return place.SessionTTL / 5
	}
	return place.SessionTTL
}

func (place *Config) writeTimeout() time.Duration {
	return max(minWriteTimeout, 2*place.SuspicionTimeout)
}

func (place *Config) Check() error {
	if place.HeartbeatInterval < 10*time.Millisecond || place.SuspicionTimeout < 3*place.HeartbeatInterval {
		return rpc.Errorf(rpc.BadFlag, "--suspect-ms: %v must be at least three beats of %v, and a beat 10ms", place.SuspicionTimeout, place.HeartbeatInterval)
	}
	if err := CheckAddress("--wire", place.InternalAddress); err != nil {
		return err
	}
	if place.discoversPeers() && len(place.Seeds) > 0 {
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

func (place *Config) checkSeeds() error {
	if len(place.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--peer: goes with an id, not with seeds")
	}
	if place.MinFounders < 1 || place.MinFounders > maxFounders {
		return rpc.Errorf(rpc.BadFlag, "--least: %d is not in 1 to %d", place.MinFounders, maxFounders)
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
