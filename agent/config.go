package agent

import (
	"time"

	"orchidjunction/rpc"
)

const maxSeeds = 3

// Config is what a daemon learns of itself from its flags or its settings file.
// Addresses have the form IP:port.
type Config struct {
	Name            string
	Kind            string // message.ProxyKind or message.DirectoryKind
	Zone            string
	InternalAddress string // for other processes
	PublicAddress   string // for callers
	OperatorAddress string
	Seeds           []string // the internal addresses of one to three cores
	Guest           bool     // serves another partner with capacity that it is lent

	Intervals     Intervals
	ForwardLimits ForwardLimits
	// DirectSessions says that this daemon holds its session with the leader itself, and
	// waits for updates there.
	DirectSessions bool
	// ServesAlone says that this daemon goes on serving while it reaches no core.
	ServesAlone bool
	// Routed says that this daemon serves by the routing, not by the settings.
	Routed bool
	// Wall returns the wall clock in milliseconds since the Unix epoch.
	Wall func() int64
}

// Check returns BadFlag if the config can't work; its message names the flag.
func (config *Config) Check() error {
	if config.Name == "" || config.Zone == "" {
		return rpc.Errorf(rpc.BadFlag, "--name and --zone must be given")
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

func (config *Config) wall() func() int64 {
	if config.Wall != nil {
		return config.Wall
	}
	return func() int64 { return time.Now().UnixMilli() }
}
