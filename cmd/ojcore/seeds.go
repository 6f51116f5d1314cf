package main

import (
	"fmt"
	"slices"

	"orchidjunction/control"
	"orchidjunction/rpc"
)

// takeSeeds makes a core that was given seeds one that joins a running system.
func takeSeeds(config *control.Config, seeds []string) error {
	if len(seeds) == 0 {
		if config.ID == 0 {
			return rpc.Errorf(rpc.BadFlag, "--id or --seed must be given")
		}
		return nil
	}
	if config.ID != 0 || len(config.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--seed: a core that joins gets its id from the others; leave out --id and --peer")
	}
	if config.Bootstrap {
		return rpc.Errorf(rpc.BadFlag, "--found: a core that joins founds nothing; leave it out beside --seed")
	}
	if slices.Contains(seeds, config.InternalAddress) {
		return rpc.Errorf(rpc.BadFlag, "--seed: %s is this core's own --wire", config.InternalAddress)
	}
	config.Seeds, config.MinFounders = seeds, 1
	return nil
}

// knownCores are the cores' addresses that the flags name.
func knownCores(config *control.Config) []string {
	addresses := []string{config.InternalAddress}
	for _, peer := range config.Peers {
		addresses = append(addresses, peer.Address)
	}
	return append(addresses, config.Seeds...)
}

// nameOf is what logs and counters call this core.
func nameOf(config *control.Config) string {
	if config.ID > 0 {
		return fmt.Sprintf("core-%d", config.ID)
	}
	return "core-at-" + config.InternalAddress
}
