package main

import (
	"fmt"
	"slices"

	"orchidjunction/control"
	"orchidjunction/rpc"
)

// takeSeeds makes a core that was given seeds one that joins a running system.
func takeSeeds(place *control.Config, seeds []string) error {
	if len(seeds) == 0 {
		if place.ID == 0 {
			return rpc.Errorf(rpc.BadFlag, "--id or --seed must be given")
		}
		return nil
	}
	if place.ID != 0 || len(place.Peers) > 0 {
		return rpc.Errorf(rpc.BadFlag, "--seed: a core that joins gets its id from the others; leave out --id and --peer")
	}
	if place.Bootstrap {
		return rpc.Errorf(rpc.BadFlag, "--found: a core that joins founds nothing; leave it out beside --seed")
	}
	if slices.Contains(seeds, place.InternalAddress) {
		return rpc.Errorf(rpc.BadFlag, "--seed: %s is this core's own --wire", place.InternalAddress)
	}
	place.Seeds, place.MinFounders = seeds, 1
	return nil
}

// knownCores are the cores' addresses that the flags name.
func knownCores(place *control.Config) []string {
	addresses := []string{place.InternalAddress}
	for _, peer := range place.Peers {
		addresses = append(addresses, peer.Address)
	}
	return append(addresses, place.Seeds...)
}

// nameOf is what logs and counters call this core.
func nameOf(place *control.Config) string {
	if place.ID > 0 {
		return fmt.Sprintf("core-%d", place.ID)
	}
	return "core-at-" + place.InternalAddress
}
