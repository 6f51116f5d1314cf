package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/rollout"
	"orchidjunction/rpc"
)

const (
	defaultFoundingQuiet = 700 * time.Millisecond
	defaultSessionTTL    = 1500 * time.Millisecond
	minWriteTimeout      = 600 * time.Millisecond
	minReplaceAfter      = time.Second
	minHeartbeatInterval = 10 * time.Millisecond
	maxConfiguredID      = 99
)

// Config is a core's configuration, from its flags or its settings file. A core without an ID
// finds the others through its seeds and stores the membership.
type Config struct {
	ID              int
	Name            string
	Zone            string
	InternalAddress string // IP:port, for other processes
	OperatorAddress string // IP:port, for operators
	Peers           []message.Peer
	Seeds           []string // the internal addresses of some cores
	Seed            uint64   // of all random numbers

	// Bootstrap allows a core with a blank disk to found a new system, once there are at least
	// MinFounders cores and no other core has appeared for FoundingQuietPeriod.
	Bootstrap           bool
	MinFounders         int
	FoundingQuietPeriod time.Duration

	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
	// ReplaceAfter is how long a voter must be silent before a learner replaces it.
	ReplaceAfter time.Duration

	// DirectSessions makes daemons hold their sessions with the leader itself.
	DirectSessions bool
	SessionTTL     time.Duration
	TableInterval  time.Duration

	// PlatformAddress is the address of the bundled platform, which lists the backends and
	// receives usage reports. ListBackends and Metering replace it. ListZones returns the zones
	// that ListBackends knows; it is nil if ListBackends does not list by zone.
	PlatformAddress          string
	ListBackends             discovery.Lister
	ListZones                func() []string
	ListInterval             time.Duration
	MissingListsUntilRemoved int
	Metering                 Metering

	// Rollouts limits the requests to a version that may be bad, and RolloutVerdict decides
	// whether it is bad.
	Rollouts       rollout.Bounds
	RolloutVerdict rollout.Verdict

	// Wall returns the wall clock in milliseconds since the Unix epoch.
	Wall func() int64
	// OnRole is called when this core starts to lead.
	OnRole func(role Role, term message.Term)
	// OnMembershipChange is called with the voters' addresses when the membership changes.
	OnMembershipChange func(version message.Version, addresses []string)
}

// withDefaults returns the config with defaults for unset values.
func (config Config) withDefaults() Config {
	if config.Wall == nil {
		config.Wall = func() int64 { return time.Now().UnixMilli() }
	}
	if config.OnRole == nil {
		config.OnRole = func(Role, message.Term) {}
	}
	if config.OnMembershipChange == nil {
		config.OnMembershipChange = func(message.Version, []string) {}
	}
	if config.RolloutVerdict == nil {
		config.RolloutVerdict = rollout.DefaultVerdict()
	}
	setDefault(&config.Rollouts, rollout.DefaultBounds)
	setDefault(&config.ReplaceAfter, max(minReplaceAfter, 2*config.SuspicionTimeout))
	setDefault(&config.FoundingQuietPeriod, defaultFoundingQuiet)
	setDefault(&config.TableInterval, config.HeartbeatInterval)
	setDefault(&config.SessionTTL, defaultSessionTTL)
	setDefault(&config.ListInterval, discovery.DefaultInterval)
	setDefault(&config.MissingListsUntilRemoved, discovery.DefaultMissingListsUntilRemoved)
	return config
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// initialView returns the accepted membership or, if there is none, the configured one. Until a
// core is replaced, the configured addresses apply.
func (config *Config) initialView(accepted *consensus.Membership) *consensus.View {
	if config.discoversPeers() {
		return consensus.NewView(config.InternalAddress, accepted)
	}
	configured := consensus.NewMembership(append([]message.Peer{{ID: config.ID, Address: config.InternalAddress}}, config.Peers...))
	if accepted != nil && accepted.Version.Serial > configured.Version.Serial {
		return consensus.NewView(config.InternalAddress, accepted)
	}
	if accepted != nil {
		configured.Version = accepted.Version
	}
	return consensus.NewView(config.InternalAddress, configured)
}

// discoversPeers reports whether this core learns its peers from its seeds.
func (config *Config) discoversPeers() bool { return config.ID == 0 }

// firstTableDelay returns how long a leader that can recover no table waits for the daemons'
// sessions before it builds the first one.
func (config *Config) firstTableDelay() time.Duration {
	if config.DirectSessions {
		return config.SessionTTL / 5
	}
	return config.SessionTTL
}

// writeTimeout returns how long a value is sent to the other cores, apart from its transfer time.
func (config *Config) writeTimeout() time.Duration {
	return max(minWriteTimeout, 2*config.SuspicionTimeout)
}

// Check returns BadFlag if the config is invalid. The message names the flag of ojcore.
func (config *Config) Check() error {
	if config.HeartbeatInterval < minHeartbeatInterval || config.SuspicionTimeout < 3*config.HeartbeatInterval {
		return rpc.Errorf(
			rpc.BadFlag,
			"--suspect-ms: %v must be at least three heartbeats of %v, and a heartbeat at least %v",
			config.SuspicionTimeout,
			config.HeartbeatInterval,
			minHeartbeatInterval,
		)
	}
	if err := rpc.CheckAddress("--wire", config.InternalAddress); err != nil {
		return err
	}
	if config.discoversPeers() && len(config.Seeds) > 0 {
		return config.checkSeeds()
	}
	return config.checkPeers()
}

func (config *Config) checkPeers() error {
	if config.ID < 1 || config.ID > maxConfiguredID {
		return rpc.Errorf(rpc.BadFlag, "--id: %d is out of range 1 to %d", config.ID, maxConfiguredID)
	}
	seen := map[int]bool{config.ID: true}
	for _, peer := range config.Peers {
		if seen[peer.ID] {
			return rpc.Errorf(rpc.BadFlag, "--peer: duplicate ID %d", peer.ID)
		}
		seen[peer.ID] = true
		if err := rpc.CheckAddress("--peer", peer.Address); err != nil {
			return err
		}
	}
	if len(config.Peers)%2 != 0 {
		return rpc.Errorf(rpc.BadFlag, "--peer: %d cores in total, want an odd number", len(config.Peers)+1)
	}
	return nil
}

func (config *Config) checkSeeds() error {
	if len(config.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--peer: requires an ID; not allowed with seeds")
	}
	if config.MinFounders < 1 || config.MinFounders > maxFounders {
		return rpc.Errorf(rpc.BadFlag, "--least: %d is out of range 1 to %d", config.MinFounders, maxFounders)
	}
	for _, seed := range config.Seeds {
		if err := rpc.CheckAddress("--seed", seed); err != nil {
			return err
		}
	}
	return nil
}
