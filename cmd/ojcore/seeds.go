package main

import (
	"fmt"
	"slices"

	"orchidjunction/control"
	"orchidjunction/rpc"
)

// configureSeeds makes a core with seeds join a running system.
func configureSeeds(config *control.Config, seeds []string) error {
	if len(seeds) == 0 {
		if config.ID == 0 {
			return rpc.Errorf(rpc.BadFlag, "--id or --seed is required")
		}
		return nil
	}
	if config.ID != 0 || len(config.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--seed: a joining core is assigned its ID; leave out --id and --peer")
	}
	if config.Bootstrap {
		return rpc.Errorf(rpc.BadFlag, "--found cannot be combined with --seed: a joining core does not create a new system")
	}
	if slices.Contains(seeds, config.InternalAddress) {
		return rpc.Errorf(rpc.BadFlag, "--seed: %s is this core's own --wire", config.InternalAddress)
	}
	config.Seeds, config.MinFounders = seeds, 1
	return nil
}

func coreAddresses(config *control.Config) []string {
	addresses := []string{config.InternalAddress}
	for _, peer := range config.Peers {
		addresses = append(addresses, peer.Address)
	}
	return append(addresses, config.Seeds...)
}

// coreName returns the name of this core in logs and counters.
func coreName(config *control.Config) string {
	if config.ID > 0 {
		return fmt.Sprintf("core-%d", config.ID)
	}
	return "core-at-" + config.InternalAddress
}
