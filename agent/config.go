package agent

import (
	"time"

	"orchidjunction/rpc"
)

const maxSeeds = 3

// Config is a daemon's configuration from its flags or settings file. Addresses have the form
// IP:port.
type Config struct {
	Name            string
	Kind            string // message.ProxyKind or message.DirectoryKind
	Zone            string
	InternalAddress string // for calls from other processes
	PublicAddress   string // for callers' requests
	OperatorAddress string
	Seeds           []string // internal addresses of one to three cores
	Guest           bool     // serves another partner with lent capacity

	Intervals     Intervals
	ForwardLimits ForwardLimits
	// DirectSessions makes the daemon hold its session with the leader, and watch it for
	// updates, rather than with any core and through the relay tree.
	DirectSessions bool
	// ServesAlone lets the daemon continue to serve while no core is reachable.
	ServesAlone bool
	// Routed makes the daemon serve by the routing instead of the settings.
	Routed bool
	// Wall returns the wall clock in milliseconds since the Unix epoch.
	Wall func() int64
}

// Check returns a BadFlag error that names the flag if the config is invalid.
func (config *Config) Check() error {
	if config.Name == "" || config.Zone == "" {
		return rpc.Errorf(rpc.BadFlag, "--name and --zone are required")
	}
	if len(config.Seeds) == 0 || len(config.Seeds) > maxSeeds {
		return rpc.Errorf(rpc.BadFlag, "--seed: %d seeds, want one to three", len(config.Seeds))
	}
	for _, seed := range config.Seeds {
		if err := rpc.CheckAddress("--seed", seed); err != nil {
			return err
		}
	}
	addresses := map[string]string{"--wire": config.InternalAddress, "--listen": config.PublicAddress, "--operate": config.OperatorAddress}
	for flag, address := range addresses {
		if err := rpc.CheckAddress(flag, address); err != nil {
			return err
		}
	}
	return nil
}

func (config *Config) wallClock() func() int64 {
	if config.Wall != nil {
		return config.Wall
	}
	return func() int64 { return time.Now().UnixMilli() }
}
