package control

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// A config with an ID lists its peers, one without an ID lists seeds. Each case makes both
// invalid in one way.
func TestConfigRejectsInvalidValues(test *testing.T) {
	withPeers := Config{
		ID:                1,
		InternalAddress:   "10.0.0.1:41",
		Peers:             []message.Peer{{ID: 2, Address: "10.0.0.2:41"}, {ID: 3, Address: "10.0.0.3:41"}},
		HeartbeatInterval: 75 * time.Millisecond,
		SuspicionTimeout:  300 * time.Millisecond,
	}
	withSeeds := Config{
		InternalAddress:   "10.0.0.1:41",
		Seeds:             []string{"10.0.0.1:41", "10.0.0.2:41"},
		MinFounders:       2,
		HeartbeatInterval: 150 * time.Millisecond,
		SuspicionTimeout:  750 * time.Millisecond,
	}
	for name, change := range map[string]func(*Config, *Config){
		"no ID, no seeds":                        func(withPeers, withSeeds *Config) { withPeers.ID, withSeeds.Seeds = 0, nil },
		"out of range":                           func(withPeers, withSeeds *Config) { withPeers.ID, withSeeds.MinFounders = 100, 100 },
		"too few founders, even number of cores": func(withPeers, withSeeds *Config) { withSeeds.MinFounders, withPeers.Peers = 0, withPeers.Peers[:1] },
		"duplicate peer, peers and seeds":        func(withPeers, withSeeds *Config) { withPeers.Peers[1].ID, withSeeds.Peers = 2, withPeers.Peers },
		"invalid address":                        func(withPeers, withSeeds *Config) { withPeers.Peers[1].Address, withSeeds.Seeds[1] = "b", "b" },
		"no own address":                         func(withPeers, withSeeds *Config) { withPeers.InternalAddress, withSeeds.InternalAddress = "", "" },
		"short suspicion time-out": func(withPeers, withSeeds *Config) {
			withPeers.SuspicionTimeout, withSeeds.SuspicionTimeout = time.Millisecond, time.Millisecond
		},
	} {
		peersConfig, seedsConfig := withPeers, withSeeds
		peersConfig.Peers, seedsConfig.Seeds = append([]message.Peer{}, withPeers.Peers...), append([]string{}, withSeeds.Seeds...)
		if err := peersConfig.Check(); err != nil {
			test.Fatal(err)
		}
		if err := seedsConfig.Check(); err != nil {
			test.Fatal(err)
		}
		change(&peersConfig, &seedsConfig)
		for _, config := range []*Config{&peersConfig, &seedsConfig} {
			if err := config.Check(); err == nil || rpc.CodeOf(err) != rpc.BadFlag {
				test.Errorf("%s: %+v: got error %v, want BadFlag", name, config, err)
			}
		}
	}
}
